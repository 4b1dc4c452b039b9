import dataclasses
import math
import types
import unittest

from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import reachability
from wagtailtide_gateway.decisions import server_limits
from wagtailtide_gateway.model import backend
from wagtailtide_gateway.serving import availability
from wagtailtide_testing import virtual_time

from tests import builders

INSTANCES = 10
LIMIT_PER_S = 2.0


def make_availability(*states, leaderless=False, service_s=1.5):
    view = types.SimpleNamespace(
        reachability=reachability.Reachability(),
        is_outdated=lambda max_age_s, now: False,
        of_service=lambda service: states,
        service_time_s=lambda service, default_s: service_s,
    )
    exchange = types.SimpleNamespace(
        instances=INSTANCES,
        leaderless_instances=INSTANCES if leaderless else None,
        loading_s={},
    )
    return availability.Availability(
        builders.make_settings(),
        view,
        peers.PeerDirectory(),
        exchange,
        types.SimpleNamespace(
            fitting=lambda job, states, instances, service_s: {
                state.server.id for state in states
            }
        ),
    )


def make_state(id_, limit_per_s=None, adapters=()):
    model = backend.ResidentModel('m1', 1, frozenset(adapters))
    residency = dataclasses.replace(
        builders.make_residency(), models={'m1': model}
    )
    state = server_state.ServerState(
        builders.make_server(id_, residency=residency)
    )
    state.limit.update(server_limits.Statement(limit_per_s, 0.0))
    return state


def make_job(adapter=None):
    return types.SimpleNamespace(
        service=types.SimpleNamespace(name='engines'),
        req=types.SimpleNamespace(model='m1', adapter=adapter),
        demand_key=('engines', 'm1'),
        is_plain=False,
        software_version=None,
        tried=[],
    )


class RetriesTest(unittest.TestCase):
    def test_callers_of_a_service_that_takes_no_time_may_return(self):
        found = make_availability(make_state('s1'), service_s=0.0)
        self.assertGreater(found.retries_per_s(make_job(), 0.0), 0.0)

    def test_callers_return_at_the_rate_that_the_servers_take(self):
        slots = builders.make_server().slots
        limited = make_state('s1', LIMIT_PER_S)
        rows = (
            ((make_state('s1'),), False, slots / 1.5 / INSTANCES),
            ((limited, make_state('s2')), False, slots / 1.5 / INSTANCES),
            ((limited,), False, LIMIT_PER_S / INSTANCES),
            (
                (limited,),
                True,
                LIMIT_PER_S * server_limits.LEADERLESS_PART / INSTANCES,
            ),
        )
        for states, leaderless, expected in rows:
            with self.subTest(states=len(states), leaderless=leaderless):
                found = make_availability(*states, leaderless=leaderless)
                self.assertAlmostEqual(
                    found.retries_per_s(make_job(), 1.0), expected
                )


class AdapterTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_adapter_at_a_limited_server_only_is_requested(self):
        limited = make_state('s1', LIMIT_PER_S, ['a1'])
        rows = (
            ('another server lacks it', (limited, make_state('s2')), True),
            (
                'another server has it',
                (limited, make_state('s2', adapters=['a1'])),
                False,
            ),
            ('no other server', (limited,), False),
            ('no adapter anywhere', (make_state('s1', LIMIT_PER_S),), True),
        )
        for name, states, expected in rows:
            with self.subTest(name):
                found = make_availability(*states)
                self.assertIs(found.needs_adapter(make_job('a1')), expected)

    @virtual_time.run_without_io
    async def test_model_that_loads_elsewhere_ends_the_wait_for_a_permit(self):
        found = make_availability(make_state('s1', LIMIT_PER_S))
        self.assertEqual(found.other_server_in_s(make_job()), math.inf)
        found._exchange.loading_s['engines', 'm1'] = 1.5
        self.assertEqual(found.other_server_in_s(make_job()), 1.5)
