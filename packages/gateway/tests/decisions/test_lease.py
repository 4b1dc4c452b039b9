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


def may_take_over(observer, own_name='front-2', **changes):
    options = {'capacity': 1.0, 'refused': False, 'resigned': False}
    reason = observer.takeover_reason(LEASE_S, own_name, **options | changes)
    return reason is not None


class MayTakeOverTest(unittest.TestCase):
    def test_renewed_lease_is_not_taken_over(self):
        renewed = dataclasses.replace(RECORD, renewals=6)
        observer = make_observer((RECORD, 0.0), (renewed, 2.9), (renewed, 3.5))
        self.assertFalse(may_take_over(observer))

    def test_unchanged_lease_is_taken_over_when_it_expires(self):
        observer = make_observer((RECORD, 0.0), (RECORD, 3.2))
        self.assertTrue(may_take_over(observer))

    def test_refused_connection_shortens_the_takeover(self):
        observer = make_observer((RECORD, 0.0), (RECORD, 2.2))
        self.assertTrue(may_take_over(observer, refused=True))
        self.assertFalse(may_take_over(observer))

    def test_refused_connection_does_not_end_a_renewed_lease(self):
        # Guards against a takeover when only the connection between two
        # instances fails and connection attempts are reset.
        renewed = dataclasses.replace(RECORD, renewals=6)
        observer = make_observer((RECORD, 0.0), (renewed, 1.0), (renewed, 1.5))
        self.assertFalse(may_take_over(observer, refused=True))

    def test_released_and_own_leases_are_taken_at_once(self):
        released = dataclasses.replace(RECORD, holder='')
        observer = make_observer((released, 0.0))
        self.assertTrue(may_take_over(observer))
        observer = make_observer((RECORD, 0.0))
        self.assertTrue(may_take_over(observer, 'front-1'))

    def test_resigned_lease_is_taken_at_once(self):
        observer = make_observer((RECORD, 0.0))
        self.assertTrue(may_take_over(observer, resigned=True))

    def test_small_instance_waits_for_larger_ones(self):
        record = dataclasses.replace(RECORD, min_capacity=2.0)
        released = dataclasses.replace(record, holder='')
        for first, wait_s in ((record, LEASE_S), (released, 0.0)):
            early = make_observer((first, 0.0), (first, wait_s + 0.9))
            late = make_observer((first, 0.0), (first, wait_s + 1.5))
            self.assertFalse(may_take_over(early))
            self.assertTrue(may_take_over(early, capacity=2.0))
            self.assertTrue(may_take_over(late))

    def test_reason_tells_an_expired_lease_from_one_that_was_given_up(self):
        reasons = lease.TakeoverReason
        options = {'capacity': 1.0, 'refused': False, 'resigned': False}
        released = dataclasses.replace(RECORD, holder='')
        rows = (
            (None, {}, reasons.NO_LEASE),
            (released, {}, reasons.RELEASED),
            (RECORD, {'resigned': True}, reasons.RESIGNED),
            (RECORD, {'refused': True}, reasons.REFUSED),
            (RECORD, {}, reasons.EXPIRED),
        )
        for record, changes, reason in rows:
            with self.subTest(reason):
                observer = make_observer((record, 0.0), (record, 3.5))
                found = observer.takeover_reason(
                    LEASE_S, 'front-2', **options | changes
                )
                self.assertIs(found, reason)


class LeaseValidityTest(unittest.TestCase):
    def test_leader_stops_before_another_may_take_over(self):
        # Guards against two leaders: a leader that was suspended counts its
        # lease from the time it sent its last renewal.
        self.assertTrue(lease.is_lease_valid(2.4, 0.0, LEASE_S))
        self.assertFalse(lease.is_lease_valid(2.6, 0.0, LEASE_S))
