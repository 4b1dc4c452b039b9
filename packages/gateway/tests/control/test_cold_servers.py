import types
import unittest

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import cold_servers
from wagtailtide_gateway.control import server_limits
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.decisions import cold_servers as decisions
from wagtailtide_testing import virtual_time

from tests import builders

RULE = decisions.make_rule(3.0, 8.0, 1.5, 5)


def make_view(*entries):
    """Return a ServerView of a service with cold servers, with a list."""
    view = servers.ServerView(decode, lambda: None)
    view.cold_rule_of = lambda service: RULE
    view.apply_list(entries, 10, 0.0)
    return view


def decode(obj):
    start_ms, remaining_s = obj.value
    return builders.make_server(
        obj.name,
        residency=builders.make_residency(process_start_ms=start_ms),
        cold_remaining_s=remaining_s,
    )


def entry(start_ms=1, remaining_s=None, revision=9):
    return ports.StoredObject('s1', revision, (start_ms, remaining_s))


def change(*args, **changes):
    return [ports.Change(entry(*args, **changes), False)]


def is_limited(view, now):
    return view.states['s1'].limit.cold.is_limited(now)


class EntryTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_cold_entry_limits_its_server(self):
        view = make_view(entry(remaining_s=2.0))
        self.assertTrue(is_limited(view, 1.0))
        self.assertFalse(is_limited(view, 2.1 + decisions.RAMP_S))

    @virtual_time.run_without_io
    async def test_servers_of_the_first_list_are_not_taken_for_cold(self):
        # Guards against an instance that starts and uses no server.
        self.assertFalse(is_limited(make_view(entry()), 0.0))

    @virtual_time.run_without_io
    async def test_process_that_starts_is_cold_without_a_statement(self):
        view = make_view(entry())
        view.apply_changes(change(2, revision=11), 5.0)
        self.assertTrue(is_limited(view, 7.9))

    @virtual_time.run_without_io
    async def test_process_that_states_to_be_warm_is_not_cold(self):
        view = make_view(entry())
        view.apply_changes(change(2, 0.0, revision=11), 5.0)
        self.assertFalse(is_limited(view, 5.0))

    @virtual_time.run_without_io
    async def test_process_may_become_cold_again(self):
        view = make_view(entry(remaining_s=0.0))
        view.apply_changes(change(remaining_s=3.0, revision=11), 50.0)
        self.assertTrue(is_limited(view, 52.0))

    @virtual_time.run_without_io
    async def test_same_revision_does_not_prolong_the_period(self):
        # Guards against a limit that each list of the servers renews.
        view = make_view(entry(remaining_s=3.0))
        view.apply_list([entry(remaining_s=3.0)], 12, 2.9)
        self.assertFalse(is_limited(view, 3.1 + decisions.RAMP_S))

    @virtual_time.run_without_io
    async def test_replaced_process_takes_no_request_being_connected(self):
        # Guards against a request that reaches the new process without a
        # permit, because its connection was opened for the old one.
        view = make_view(entry())
        old = view.states['s1']
        view.apply_changes(change(2, 3.0, revision=11), 5.0)
        self.assertTrue(old.limit.cold.began_since(4.9, 5.1))


class ExchangeTest(unittest.TestCase):
    def make_sections(self, *entries):
        view = make_view(*entries)
        cold = cold_servers.ColdServers(view, lambda server, instance: 4)
        return view, cold.section()

    @virtual_time.run_without_io
    async def test_statement_to_one_instance_reaches_the_others(self):
        now = anyio.current_time()
        first, first_section = self.make_sections(entry())
        cold_servers.record_response(first.states['s1'], 3.0, 'a1', now)
        _, leader = self.make_sections(entry())
        leader.receive('front-1', first_section.make_report(), now)
        second, second_section = self.make_sections(entry())
        second_section.apply(leader.make_update('front-2', now), now)
        self.assertTrue(is_limited(second, now + 2.9))
        self.assertEqual(second.states['s1'].limit.others_waiting, 4)

    @virtual_time.run_without_io
    async def test_what_the_leader_told_is_not_reported_again(self):
        # Guards against a period that each exchange prolongs.
        now = anyio.current_time()
        _, section = self.make_sections(entry())
        section.apply({'s1': [3.0, 0]}, now)
        self.assertIsNone(section.make_report())

    @virtual_time.run_without_io
    async def test_new_term_forgets_what_was_reported(self):
        now = anyio.current_time()
        _, section = self.make_sections(entry())
        section.receive('front-1', {'s1': [3.0, 0]}, now)
        section.start_term()
        self.assertIsNone(section.make_update('front-2', now))

    @virtual_time.run_without_io
    async def test_malformed_section_is_refused(self):
        _, section = self.make_sections(entry())
        for value in ([1], {'s1': 3.0}, {'s1': ['x', 0]}, {1: [3.0, 0]}):
            with (
                self.subTest(value=value),
                self.assertRaises((TypeError, ValueError)),
            ):
                section.receive('front-1', value, 0.0)

    @virtual_time.run_without_io
    async def test_huge_time_is_cut(self):
        view, section = self.make_sections(entry())
        section.receive('front-1', {'s1': [1e9, 0]}, 0.0)
        self.assertFalse(
            is_limited(view, decisions.MAX_COLD_S + decisions.RAMP_S + 1.0)
        )


class PermitsTest(unittest.TestCase):
    def grant(self, remaining_s, wanted_at, wanted=50):
        view = make_view(entry(remaining_s=remaining_s))
        limits = server_limits.ClusterLimits(
            types.SimpleNamespace(states=view.states)
        )
        report = builders.make_report('front-1', permits={'s1': wanted})
        limits.receive(report, 0.0)
        limits.grant(report, 0.0)
        limits.receive(report, wanted_at)
        return limits.grant(report, wanted_at).get('s1', 0)

    @virtual_time.run_without_io
    async def test_pause_of_requests_does_not_save_up_permits(self):
        self.assertEqual(self.grant(3.0, 2.9), RULE.burst)

    @virtual_time.run_without_io
    async def test_leader_that_knows_no_limit_grants_as_for_a_cold_server(
        self,
    ):
        # Guards against a request that waits because the leader learns of
        # the cold server later than its own instance.
        self.assertEqual(self.grant(None, 2.9), RULE.burst)


class SettingsTest(unittest.TestCase):
    def rule_of(self, **settings):
        service = types.SimpleNamespace(cold_start_s=3.0, cold_per_s=8.0)
        config = types.SimpleNamespace(
            deployment=builders.make_deployment(services={'engines': service})
        )
        return cold_servers.rule_of(
            builders.make_settings(**settings), config, 'engines'
        )

    def test_rule_needs_the_bounds_in_the_settings(self):
        self.assertIsNone(self.rule_of())
        self.assertEqual(self.rule_of(cold_overage=1.5, cold_slack=5.0), RULE)
