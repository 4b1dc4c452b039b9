import dataclasses
import unittest

from wagtailtide_gateway.decisions import lease

RECORD = lease.DutyRecord('front-1', '10.0.0.1', 7600, 3, 5, 12)
LEASE_S = 3.0


def make_observer(*reads):
    observer = lease.LeaseObserver()
    for record, at in reads:
        observer.observe(record, at, at + 0.01)
    return observer


class MayTakeOverTest(unittest.TestCase):
    def test_renewed_lease_is_not_taken_over(self):
        renewed = dataclasses.replace(RECORD, renewals=6)
        observer = make_observer((RECORD, 0.0), (renewed, 2.9), (renewed, 3.5))
        self.assertFalse(observer.may_take_over(LEASE_S, False, 'front-2'))

    def test_unchanged_lease_is_taken_over_when_it_expires(self):
        observer = make_observer((RECORD, 0.0), (RECORD, 3.2))
        self.assertTrue(observer.may_take_over(LEASE_S, False, 'front-2'))

    def test_refused_connection_shortens_the_takeover(self):
        observer = make_observer((RECORD, 0.0), (RECORD, 2.2))
        self.assertTrue(observer.may_take_over(LEASE_S, True, 'front-2'))
        self.assertFalse(observer.may_take_over(LEASE_S, False, 'front-2'))

    def test_refused_connection_does_not_end_a_renewed_lease(self):
        # Guards against a takeover when only the connection between two
        # instances fails and connection attempts are reset.
        renewed = dataclasses.replace(RECORD, renewals=6)
        observer = make_observer((RECORD, 0.0), (renewed, 1.0), (renewed, 1.5))
        self.assertFalse(observer.may_take_over(LEASE_S, True, 'front-2'))

    def test_released_and_own_leases_are_taken_at_once(self):
        released = dataclasses.replace(RECORD, holder='')
        self.assertTrue(
            make_observer((released, 0.0)).may_take_over(
                LEASE_S, False, 'front-2'
            )
        )
        self.assertTrue(
            make_observer((RECORD, 0.0)).may_take_over(
                LEASE_S, False, 'front-1'
            )
        )


class LeaseValidityTest(unittest.TestCase):
    def test_leader_stops_before_another_may_take_over(self):
        # Guards against two leaders: a leader that was suspended counts its
        # lease from the time it sent its last renewal.
        self.assertTrue(lease.is_lease_valid(2.4, 0.0, LEASE_S))
        self.assertFalse(lease.is_lease_valid(2.6, 0.0, LEASE_S))
