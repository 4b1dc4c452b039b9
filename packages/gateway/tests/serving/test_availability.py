import types
import unittest

from wagtailtide_gateway.control import servers
from wagtailtide_gateway.decisions import server_limits
from wagtailtide_gateway.serving import availability

from tests import builders

INSTANCES = 10
LIMIT_PER_S = 2.0


def make_availability(*states, leaderless=False):
    view = types.SimpleNamespace(
        health=types.SimpleNamespace(
            is_unreachable=lambda server_id, now: False
        ),
        is_outdated=lambda max_age_s, now: False,
        of_service=lambda service: states,
        service_time_s=lambda service, default_s: 1.5,
    )
    exchange = types.SimpleNamespace(
        instances=INSTANCES,
        leaderless_instances=INSTANCES if leaderless else None,
    )
    return availability.Availability(builders.make_settings(), view, exchange)


def make_state(id_, limit_per_s=None):
    state = servers.ServerState(
        builders.make_server(id_, residency=builders.make_residency(['m1']))
    )
    state.limit.update(server_limits.Statement(limit_per_s, 0.0))
    return state


def make_job():
    return types.SimpleNamespace(
        service=types.SimpleNamespace(name='engines'),
        req=types.SimpleNamespace(model='m1', adapter=None),
        is_plain=False,
        software_version=None,
        tried=[],
    )


class RetriesTest(unittest.TestCase):
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
