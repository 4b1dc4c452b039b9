import unittest

from wagtailtide_gateway.decisions import brittle_servers
from wagtailtide_gateway.decisions import server_limits
from wagtailtide_testing import virtual_time

from tests import builders
from tests.decisions import brittle_fleet

# Of what the servers can run, this share is to be served.
SERVED_SHARE = 0.9


def allowed_falls(fleet):
    return 2 + 0.1 * fleet.servers


class FleetTest(unittest.TestCase):
    """Servers of 24 slots that bear two rejections in a second."""

    @virtual_time.run_without_io
    async def replay(self, seed=1, **changes):
        replay = brittle_fleet.Replay(brittle_fleet.Fleet(**changes), seed)
        await replay.run()
        return replay

    def check(self, served_share=SERVED_SHARE, **changes):
        replay = self.replay(**changes)
        fleet = replay.fleet
        self.assertLessEqual(replay.falls, allowed_falls(fleet))
        possible = min(1.0, fleet.load) * fleet.per_s * fleet.duration_s
        # Those that arrived in the last second are not served yet.
        possible *= 1.0 - brittle_fleet.SERVICE_S / fleet.duration_s
        self.assertGreaterEqual(replay.served, served_share * possible)

    def test_load_that_the_servers_can_run_is_served(self):
        for instances, servers in ((1, 9), (12, 9), (36, 9), (124, 20)):
            with self.subTest(instances=instances, servers=servers):
                self.check(instances=instances, servers=servers)

    def test_burst_is_served_as_far_as_possible(self):
        for instances, servers in ((12, 9), (124, 20)):
            with self.subTest(instances=instances, servers=servers):
                self.check(
                    instances=instances,
                    servers=servers,
                    load=3.0,
                    duration_s=5.0,
                )

    def test_third_of_the_servers_is_down(self):
        # Guards against servers that come back into the load of the others.
        self.check(served_share=0.0, instances=12, down=3)
        self.check(served_share=0.0, instances=36, down=3, load=3.0)

    def test_leader_is_lost(self):
        # Guards against a new leader that grants what others still use.
        for instances in (12, 124):
            with self.subTest(instances=instances):
                self.check(
                    served_share=0.0,
                    instances=instances,
                    leaderless=(4.0, 7.0),
                )

    def test_servers_topple_each_other_without_slots(self):
        # Shows that the replay has the load pattern.
        replay = self.replay(uses_slots=False)
        self.assertGreater(replay.falls, allowed_falls(replay.fleet))


def make_ledger(slots=24, was_brittle=False):
    ledger = brittle_servers.SlotLedger(term_started_at=-100.0)
    ledger.add(builders.make_server('s1', slots=slots), was_brittle)
    return ledger


def report(ledger, now, rejections=0, **in_use):
    for instance, count in in_use.items():
        server = builders.make_server('s1')
        ledger.note_report(server, instance, count, rejections, now)


def grant(ledger, instance, now, slots=24, unreported=0, **wanted):
    return ledger.grant('s1', instance, slots, unreported, wanted, now)


class SlotLedgerTest(unittest.TestCase):
    def test_slots_in_use_and_granted_ones_are_not_granted_again(self):
        ledger = make_ledger()
        report(ledger, 1.0, a=20, b=0)
        self.assertEqual(grant(ledger, 'b', 1.0, b=9), 4)
        self.assertEqual(grant(ledger, 'a', 1.0, a=9), 0)

    def test_requests_of_instances_that_do_not_report_slots_count(self):
        # Guards against older builds, and instances that do not know yet that
        # the server is brittle.
        ledger = make_ledger()
        report(ledger, 1.0, a=0)
        self.assertEqual(grant(ledger, 'a', 1.0, unreported=22, a=9), 2)

    def test_instance_with_many_requests_leaves_slots_to_the_others(self):
        ledger = make_ledger()
        report(ledger, 1.0, a=0, b=0)
        self.assertEqual(grant(ledger, 'a', 1.0, a=99, b=5), 19)
        self.assertEqual(grant(ledger, 'b', 1.0, a=80, b=5), 5)

    def test_silent_instance_is_forgotten(self):
        ledger = make_ledger()
        report(ledger, 1.0, gone=24)
        report(ledger, 3.6, a=0)
        self.assertEqual(grant(ledger, 'a', 3.6, a=9), 9)

    def test_instance_of_another_process_gets_none(self):
        # Guards against slots that are used at a process which the leader
        # does not know.
        self.assertEqual(grant(make_ledger(), 'a', 1.0, a=9), 0)

    def test_new_leader_leaves_a_part_to_instances_it_has_not_heard(self):
        ledger = brittle_servers.SlotLedger(term_started_at=0.0)
        ledger.add(builders.make_server('s1'), False)
        report(ledger, 1.0, a=4)
        self.assertEqual(grant(ledger, 'a', 1.0, a=30), 8)
        self.assertEqual(grant(ledger, 'a', 2.0, a=30), 12)

    def test_restarted_server_gets_its_load_back_step_by_step(self):
        ledger = make_ledger(was_brittle=True)
        granted = []
        for now in (1.0, 1.5, 2.0, 2.5):
            report(ledger, now, a=sum(granted))
            granted.append(grant(ledger, 'a', now, a=99))
        self.assertEqual(granted, [6, 6, 12, 0])

    def test_server_that_rejects_gets_less(self):
        # Guards against a server that falls over as often as it is filled:
        # it has less room than its slots.
        ledger = make_ledger()
        report(ledger, 1.0, rejections=3, a=24, b=1)
        report(ledger, 1.1, rejections=3, a=24, b=1)
        self.assertAlmostEqual(ledger.capacity('s1', 24, 1.1), 21.6, 1)
        self.assertEqual(ledger.capacity('s1', 24, 60.0), 24)

    def test_share_is_all_slots_while_no_other_instance_waits(self):
        ledger = make_ledger()
        report(ledger, 1.0, a=10, b=5)
        self.assertEqual(ledger.share('s1', 'a', 24, {'a': 3}, 1.0), 24)
        self.assertEqual(ledger.share('s1', 'a', 24, {'b': 3}, 1.0), 12)


class BrittleLimitTest(unittest.TestCase):
    def make_limit(self, per_s=24.0):
        limit = server_limits.ServerLimit()
        limit.brittle.per_s = per_s
        limit.brittle.note_share(2.0, 0.0)
        return limit

    def test_server_that_is_not_brittle_is_not_limited(self):
        limit = self.make_limit(per_s=None)
        self.assertIsNone(limit.present_per_s(1.0))
        self.assertFalse(limit.record_end(1, True, 1.0))

    def test_slot_within_the_share_is_kept_for_a_waiting_request(self):
        limit = self.make_limit()
        limit.record_end(1, True, 1.0)
        self.assertTrue(limit.allows(None, 1.05))
        self.assertFalse(limit.allows(None, 1.2))

    def test_slot_beyond_the_share_is_left_to_others(self):
        limit = self.make_limit()
        limit.others_waiting = 1
        self.assertTrue(limit.record_end(3, True, 1.0))
        self.assertFalse(limit.allows(None, 1.05))

    def test_no_slot_is_kept_after_a_pause_without_an_update(self):
        # Guards against an instance that was paused, and uses what the leader
        # has granted to others meanwhile.
        limit = self.make_limit()
        limit.record_end(1, True, brittle_servers.HOLD_S + 0.1)
        self.assertFalse(limit.allows(None, brittle_servers.HOLD_S + 0.2))

    def test_rejection_is_heeded_at_once(self):
        limit = self.make_limit()
        limit.add_permits(2, 1.0)
        limit.brittle.note_rejected(1.1)
        self.assertFalse(limit.allows(None, 1.2))
        self.assertTrue(limit.allows(None, 1.7))

    def test_turns_do_not_begin_while_slots_are_held(self):
        limit = self.make_limit()
        sent = [
            now / 100
            for now in range(400)
            if limit.allows(1, now / 100, slots=24, own_load=0)
        ]
        self.assertGreater(len(sent), 0)
        self.assertGreater(min(sent), brittle_servers.HOLD_S)


class IsBrittleTest(unittest.TestCase):
    def test_servers_of_a_service_are_brittle_together(self):
        stated = brittle_servers.Statement

        rows = {
            'never stated': ([], float('-inf'), False),
            'stated by one': (
                [stated(8.0, 5.0), stated(None, 1.0)],
                5.0,
                True,
            ),
            'zero is a statement': ([stated(0.0, 5.0)], 5.0, True),
            'a new process lacks it': (
                [stated(8.0, 5.0), stated(None, 6.0)],
                5.0,
                True,
            ),
            'all have fallen over': ([], 5.0, True),
            'no longer stated': ([stated(None, 6.0)], 5.0, False),
            'not repeated for long': ([stated(8.0, -55.0)], -55.0, False),
        }
        for name, (statements, last_at, expected) in rows.items():
            with self.subTest(name):
                self.assertEqual(
                    brittle_servers.is_brittle(statements, last_at, 10.0),
                    expected,
                )
