import dataclasses
import unittest

from wagtailtide_gateway.decisions import duty

RECORD = duty.DutyRecord('front-1', '10.0.0.1', 7600, 3, 5, 12)
LEASE_S = 3.0


def watch(*reads):
    seen = duty.DutyWatch()
    for record, at in reads:
        seen.observe(record, at, at + 0.01)
    return seen


class MayTakeTest(unittest.TestCase):
    def test_renewed_duty_is_not_taken(self):
        renewed = dataclasses.replace(RECORD, renewals=6)
        seen = watch((RECORD, 0.0), (renewed, 2.9), (renewed, 3.5))
        self.assertFalse(seen.may_take(LEASE_S, False, 'front-2'))

    def test_unchanged_duty_is_taken_after_the_lease(self):
        seen = watch((RECORD, 0.0), (RECORD, 3.2))
        self.assertTrue(seen.may_take(LEASE_S, False, 'front-2'))

    def test_ended_process_is_followed_sooner(self):
        seen = watch((RECORD, 0.0), (RECORD, 2.2))
        self.assertTrue(seen.may_take(LEASE_S, True, 'front-2'))
        self.assertFalse(seen.may_take(LEASE_S, False, 'front-2'))

    def test_path_that_refuses_does_not_depose_a_holder_that_renews(self):
        # Guards against a cut between two instances that answers for the
        # holder with resets.
        renewed = dataclasses.replace(RECORD, renewals=6)
        seen = watch((RECORD, 0.0), (renewed, 1.0), (renewed, 1.5))
        self.assertFalse(seen.may_take(LEASE_S, True, 'front-2'))

    def test_given_up_duty_and_own_duty_are_taken_at_once(self):
        free = dataclasses.replace(RECORD, holder='')
        self.assertTrue(watch((free, 0.0)).may_take(LEASE_S, False, 'front-2'))
        self.assertTrue(
            watch((RECORD, 0.0)).may_take(LEASE_S, False, 'front-1')
        )


class MayActTest(unittest.TestCase):
    def test_holder_stops_before_another_may_take_over(self):
        # Guards against two holders: the one that was paused counts its
        # lease from before it sent its last renewal.
        self.assertTrue(duty.may_act(2.4, 0.0, LEASE_S))
        self.assertFalse(duty.may_act(2.6, 0.0, LEASE_S))
