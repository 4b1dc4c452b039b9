import random
import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.document import schema
from wagtailtide_core.routing import choose
from wagtailtide_core.routing import load
from wagtailtide_core.routing import table

MODEL = ('letters', '1')


def make_table(count, *, slots=8, zones=('a',)):
    servers = table.ServerTable()
    servers.declare(
        {
            f's{n}': schema.BackendServer(
                name=f's{n}',
                kind='engine',
                group='engines',
                address=f'127.0.0.1:{9000 + n}',
                zone=zones[n % len(zones)],
                slots=slots,
            )
            for n in range(count)
        }
    )
    for name in servers.servers:
        servers.set_resident(name, {MODEL}, ())
    return servers


class ChooseTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                ['ok', 'draining', 'leaving', 'open', 'absent', 'tried']
            ),
            min_size=1,
            max_size=6,
        ),
        strategies.integers(0, 100),
    )
    def test_only_candidates_are_chosen_and_others_have_a_reason(
        self, states, seed
    ):
        servers = make_table(len(states))
        tried = set()
        for number, state in enumerate(states):
            server = servers.servers[f's{number}']
            server.draining = state == 'draining'
            server.leaving = state == 'leaving'
            if state == 'open':
                for _ in range(5):
                    server.breaker.record_failure(0.0)
            if state == 'absent':
                servers.forget_model(f's{number}', MODEL)
            if state == 'tried':
                tried.add(f's{number}')
        req = choose.RouteRequest(model=MODEL, exclude=frozenset(tried))
        chosen = choose.choose_server(req, servers, 1.0, random.Random(seed))
        usable = {f's{n}' for n, s in enumerate(states) if s == 'ok'}
        if usable:
            self.assertIn(chosen.server, usable)
        else:
            self.assertIsInstance(chosen, choose.NoServer)
        against = {
            state.declared.name
            for state, reason in choose.explain(req, servers, 1.0)
            if reason is not None
        }
        self.assertEqual(against, set(servers.servers) - usable)

    def test_instances_with_one_outdated_view_spread_their_requests(self):
        # Guards against instances that all choose the server that was least
        # loaded in the last report.
        counts = {f's{n}': 0 for n in range(8)}
        for seed in range(400):
            servers = make_table(8)
            for number, state in enumerate(servers.servers.values()):
                report = load.LoadReport(number, 0, 0.0)
                state.estimate.record_report(report)
            req = choose.RouteRequest(model=MODEL, zone='a')
            chosen = choose.choose_server(
                req, servers, 1.0, random.Random(seed)
            )
            counts[chosen.server] += 1
        self.assertLess(max(counts.values()), 400 * 0.35)

    def test_own_requests_since_the_report_count(self):
        # Guards against a burst that goes to one server until its next report.
        servers = make_table(4)
        rng = random.Random(5)
        for state in servers.servers.values():
            state.estimate.record_report(load.LoadReport(0, 0, 0.0))
        for _ in range(400):
            chosen = choose.choose_server(
                choose.RouteRequest(model=MODEL, zone='a'), servers, 1.0, rng
            )
            servers.servers[chosen.server].estimate.record_sent()
        running = [s.estimate.own_running for s in servers.servers.values()]
        self.assertLessEqual(max(running) - min(running), 5)

    def test_a_resident_adapter_is_preferred_at_equal_load(self):
        servers = make_table(2)
        servers.set_resident('s1', {MODEL}, {('letters', 'urdu')})
        req = choose.RouteRequest(model=MODEL, adapter=('letters', 'urdu'))
        for seed in range(20):
            chosen = choose.choose_server(
                req, servers, 1.0, random.Random(seed)
            )
            self.assertEqual(chosen.server, 's1')
