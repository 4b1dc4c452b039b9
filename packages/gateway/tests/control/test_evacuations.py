import math
import unittest
from unittest import mock

from wagtailtide_gateway import ports
from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.control import store_era
from wagtailtide_gateway.decisions import cold_servers

from tests import builders

BOUND_S = 5.0


def make_view(on_change=lambda: None):
    return evacuations.EvacuationView(BOUND_S, on_change)


def list_zones(view, revision, at, *zones):
    """Apply a list in which each zone was evacuated at the given revision."""
    objects = [ports.StoredObject(zone, revision, {}) for zone in zones]
    view.apply_list(objects, revision, at)


def make_servers(view, zones):
    """Return a ServerView with a server in each zone, named as the zone."""
    listed = servers.ServerView(lambda obj: obj.value, lambda: None, view)
    objects = [
        ports.StoredObject(zone, 1, builders.make_server(zone, zone=zone))
        for zone in zones
    ]
    listed.apply_list(objects, 1, 0.0)
    return listed


class KnownZonesTest(unittest.TestCase):
    def test_nothing_is_permitted_before_the_zones_are_known(self):
        view = make_view()
        self.assertFalse(view.permits('z1'))
        self.assertFalse(view.is_evacuated('z1'))
        list_zones(view, 3, 1.0)
        self.assertTrue(view.permits('z1'))

    def test_everything_is_permitted_if_zones_cannot_be_evacuated(self):
        view = evacuations.EvacuationView()
        self.assertTrue(view.permits('z1'))
        self.assertIsNone(view.make_update(1.0))

    def test_older_list_does_not_undo_a_newer_one(self):
        # Guards against a leader whose list is older than the own one: it
        # would return a zone, or evacuate it again.
        view = make_view()
        list_zones(view, 5, 10.0, 'z1')
        list_zones(view, 4, 9.0)
        self.assertTrue(view.is_evacuated('z1'))
        list_zones(view, 6, 11.0)
        list_zones(view, 5, 10.0, 'z1')
        self.assertFalse(view.is_evacuated('z1'))

    def test_copy_of_a_restored_store_does_not_return_a_zone(self):
        # Guards against requests to a zone whose evacuation is newer than the
        # copy that the store came back from, until it is written again.
        view = make_view()
        list_zones(view, 50, 10.0, 'z1', 'z2')
        list_zones(view, store_era.qualify(7, 2), 12.0)
        self.assertTrue(view.is_evacuated('z1'))
        # Written again; the other one has ended meanwhile.
        list_zones(view, store_era.qualify(9, 2), 13.0, 'z1')
        list_zones(view, store_era.qualify(9, 2), 14.1, 'z1')
        self.assertTrue(view.is_evacuated('z1'))
        self.assertFalse(view.is_evacuated('z2'))

    def test_revision_numbers_of_a_restored_store_count_anew(self):
        # Guards against evacuations that are not heeded until the revisions
        # have caught up.
        view = make_view()
        list_zones(view, 50, 10.0)
        list_zones(view, store_era.qualify(7, 2), 12.0, 'z1')
        self.assertTrue(view.is_evacuated('z1'))

    def test_older_list_does_not_make_the_zones_older(self):
        view = make_view()
        list_zones(view, 5, 10.0)
        list_zones(view, 4, 9.0)
        self.assertEqual(view.age_s(12.0), 2.0)

    def test_second_evacuation_after_a_return_counts(self):
        # The return between the two was not seen, or was.
        for is_return_seen in (False, True):
            with self.subTest(is_return_seen=is_return_seen):
                view = make_view()
                list_zones(view, 2, 1.0, 'z1')
                if is_return_seen:
                    list_zones(view, 3, 2.0)
                    self.assertTrue(view.permits('z1'))
                list_zones(view, 4, 3.0, 'z1')
                self.assertEqual(view.revisions, {'z1': 4})
                self.assertFalse(view.permits('z1'))

    def test_two_zones_return_one_after_the_other(self):
        view = make_view()
        list_zones(view, 2, 1.0, 'z1', 'z2')
        list_zones(view, 3, 2.0, 'z2')
        self.assertEqual(
            [view.permits(zone) for zone in ('z1', 'z2', 'z3')],
            [True, False, True],
        )

    def test_waiting_requests_are_woken_by_changes_only(self):
        calls = []
        view = make_view(lambda: calls.append(1))
        list_zones(view, 2, 1.0, 'z1')
        view.apply_list([ports.StoredObject('z1', 2, {})], 9, 2.0)
        self.assertEqual(len(calls), 1)
        list_zones(view, 10, 3.0)
        self.assertEqual(len(calls), 2)

    def test_each_change_is_logged(self):
        view = make_view()
        with self.assertLogs(evacuations.LOG, 'INFO') as logs:
            list_zones(view, 2, 1.0, 'z1')
            list_zones(view, 3, 2.0)
        self.assertEqual(
            [(r.getMessage(), r.zone) for r in logs.records],
            [('evacuation begun', 'z1'), ('evacuation ended', 'z1')],
        )


class SectionTest(unittest.TestCase):
    def test_zones_reach_another_instance_with_their_age(self):
        leader, follower = make_view(), make_view()
        list_zones(leader, 7, 10.0, 'z1')
        section = evacuations.make_section(leader)
        value = section.make_update('front-2', 10.75)
        evacuations.make_section(follower).apply(value, 20.0)
        self.assertEqual(follower.revisions, {'z1': 7})
        self.assertEqual(follower.age_s(20.0), 0.75)

    def test_missing_section_leaves_the_zones_as_they_are(self):
        # Guards against taking an older build's silence for an empty list.
        view = make_view()
        list_zones(view, 7, 10.0, 'z1')
        view.apply_update(None, 20.0)
        self.assertTrue(view.is_evacuated('z1'))
        self.assertEqual(view.age_s(20.0), 10.0)

    def test_leader_that_does_not_know_the_zones_sends_none(self):
        # Guards against instances that take its ignorance for an empty list.
        self.assertIsNone(make_view().make_update(1.0))

    def test_malformed_value_is_ignored(self):
        rows = (
            7,
            [],
            [0.1, 2],
            [-1.0, 2, {}],
            [math.inf, 2, {}],
            [math.nan, 2, {}],
            [0.1, '2', {}],
            [0.1, 2, ['z1']],
            [0.1, 2, {7: 2}],
            [0.1, 2, {'z1': None}],
        )
        for value in rows:
            with self.subTest(value):
                view = make_view()
                with self.assertRaises(
                    (TypeError, ValueError, fields.BadMessage)
                ):
                    view.apply_update(value, 20.0)
                self.assertFalse(view.is_known)

    def test_later_builds_may_add_values(self):
        view = make_view()
        view.apply_update([0.1, 2, {'z1': 2}, 'more'], 20.0)
        self.assertTrue(view.is_evacuated('z1'))

    def test_section_has_its_number(self):
        section = evacuations.make_section(make_view())
        self.assertIs(section.number, sections.Number.EVACUATIONS)


class ZoneStateTest(unittest.TestCase):
    def setUp(self):
        self.view = make_view()
        self.servers = make_servers(self.view, ('z1', 'z2'))
        list_zones(self.view, 2, 0.0)

    def states(self, now=1.0):
        self.view.observe(self.servers, now)
        return {z: s.value for z, s in self.view.zone_states.items()}

    def test_zone_is_evacuated_once_no_request_is_in_its_servers(self):
        # Requests of the other instances count as well.
        state = self.servers.states['z1']
        self.assertEqual(self.states(), {'z1': 'in_use', 'z2': 'in_use'})
        state.own_load, state.others_load = 1, 2
        list_zones(self.view, 3, 1.0, 'z1')
        self.assertEqual(self.states()['z1'], 'evacuating')
        state.own_load = 0
        self.assertEqual(self.states()['z1'], 'evacuating')
        state.others_load = 0
        self.assertEqual(self.states()['z1'], 'evacuated')
        self.assertEqual(self.states()['z2'], 'in_use')
        list_zones(self.view, 4, 2.0)
        self.assertEqual(self.states()['z1'], 'in_use')

    def test_zone_returns_while_a_server_there_is_cold(self):
        cold = {'z1', 'z2'}
        with mock.patch.object(
            evacuations, 'is_cold', lambda state, now: state.server.id in cold
        ):
            self.assertEqual(self.states()['z2'], 'in_use')
            list_zones(self.view, 3, 1.0, 'z1')
            self.states()
            list_zones(self.view, 4, 2.0)
            self.assertEqual(
                self.states(), {'z1': 'returning', 'z2': 'in_use'}
            )
            cold.clear()
            self.assertEqual(self.states()['z1'], 'in_use')

    def test_servers_of_a_returning_zone_are_limited_at_once(self):
        # Guards against the callers who waited overrunning servers that have
        # become cold meanwhile: their entries show it only later.
        rule = cold_servers.make_rule(3.0, 8.0, 1.5, 5.0)
        self.servers.cold_rule_of = lambda service: rule
        view = evacuations.EvacuationView(
            BOUND_S,
            on_return=lambda zone: self.servers.note_zone_returned(zone, 2.0),
        )
        list_zones(view, 3, 1.0, 'z1')
        list_zones(view, 4, 2.0)
        limits = {
            server_id: state.limit.cold.per_s(2.1)
            for server_id, state in self.servers.states.items()
        }
        self.assertEqual(limits, {'z1': rule.permits_per_s, 'z2': None})
        self.assertTrue(evacuations.is_cold(self.servers.states['z1'], 2.1))

    def test_state_is_kept_while_the_servers_are_gone(self):
        # Guards against a zone that is forgotten because all its servers stop.
        list_zones(self.view, 3, 1.0, 'z1')
        self.states()
        self.servers.apply_list([], 5, 2.0)
        self.assertEqual(self.states()['z1'], 'evacuated')

    def test_each_change_of_a_state_is_logged_once(self):
        self.states()
        with self.assertLogs(evacuations.LOG, 'INFO') as logs:
            list_zones(self.view, 3, 1.0, 'z1')
            self.states()
            self.states()
        rows = [
            (r.zone, r.previous, r.state)
            for r in logs.records
            if r.getMessage() == 'zone state'
        ]
        self.assertEqual(rows, [('z1', 'in_use', 'evacuated')])

    def test_name_that_is_no_zone_is_logged_once_and_ignored(self):
        self.states()
        with self.assertLogs(evacuations.LOG, 'WARNING') as logs:
            list_zones(self.view, 3, 1.0, 'zz')
            states = self.states()
            self.states()
        self.assertEqual([r.zone for r in logs.records], ['zz'])
        self.assertEqual(states, {'z1': 'in_use', 'z2': 'in_use'})
        self.assertTrue(self.view.permits('z1'))

    def test_zone_is_not_ignored_before_the_servers_are_listed(self):
        # Guards against a warning at each start beside an evacuated zone.
        unlisted = servers.ServerView(
            lambda obj: obj.value, lambda: None, self.view
        )
        list_zones(self.view, 3, 1.0, 'z1')
        with self.assertNoLogs(evacuations.LOG, 'WARNING'):
            self.view.observe(unlisted, 1.0)

    def test_zone_whose_first_server_comes_later_is_evacuated(self):
        list_zones(self.view, 3, 1.0, 'z3')
        self.states()
        server = builders.make_server('s9', zone='z3')
        self.servers.apply_entries(
            {'s9': ports.StoredObject('s9', 4, server)}, 2.0
        )
        self.assertFalse(self.servers.states['s9'].accepts_requests)
        self.assertEqual(self.states()['z3'], 'evacuated')


class ServerStateTest(unittest.TestCase):
    def test_server_takes_requests_again_with_its_zone(self):
        view = make_view()
        state = make_servers(view, ('z1',)).states['z1']
        list_zones(view, 2, 1.0, 'z1')
        self.assertFalse(state.accepts_requests)
        self.assertFalse(state.leaves)
        list_zones(view, 3, 2.0)
        self.assertTrue(state.accepts_requests)

    def test_process_that_comes_back_is_in_the_evacuated_zone(self):
        # Guards against requests to a server that restarts there, or whose
        # entry was away for a while.
        for start_ms in (1, 2):
            with self.subTest(start_ms=start_ms):
                view = make_view()
                listed = make_servers(view, ('z1',))
                list_zones(view, 2, 1.0, 'z1')
                listed.apply_list([], 3, 2.0)
                server = builders.make_server(
                    'z1',
                    zone='z1',
                    residency=builders.make_residency(
                        process_start_ms=start_ms
                    ),
                )
                listed.apply_list(
                    [ports.StoredObject('z1', 4, server)], 4, 3.0
                )
                self.assertFalse(listed.states['z1'].accepts_requests)

    def test_instance_that_reaches_no_other_zone_is_cut_off(self):
        # Guards against a leader that cannot give orders but keeps the lead,
        # because nobody probes the servers of the evacuated zone.
        view = make_view()
        listed = make_servers(view, ('z1', 'z2'))
        list_zones(view, 2, 1.0, 'z1')
        self.assertFalse(listed.is_cut_off)
        listed.reachability.record_failed('z2', 2.0)
        self.assertTrue(listed.is_cut_off)

    def test_instance_is_not_cut_off_if_all_zones_are_evacuated(self):
        view = make_view()
        listed = make_servers(view, ('z1', 'z2'))
        listed.reachability.record_failed('z1', 0.5)
        list_zones(view, 2, 1.0, 'z1', 'z2')
        self.assertFalse(listed.is_cut_off)

    def test_list_of_servers_is_not_used_before_the_zones_are_known(self):
        view = make_view()
        listed = make_servers(view, ('z1',))
        listed.confirm(1.0)
        self.assertTrue(listed.is_outdated(5.0, 1.0))
        list_zones(view, 2, 1.0)
        self.assertFalse(listed.is_outdated(5.0, 1.0))
