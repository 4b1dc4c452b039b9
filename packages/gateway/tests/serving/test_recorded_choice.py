"""Decisions without learned capacity, as recorded on bfedb85."""

import hashlib
import random
import types
import unittest
from unittest import mock

from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import reachability
from wagtailtide_gateway.serving import availability
from wagtailtide_testing import virtual_time

from tests import builders

ROUNDS = 400
RECORDED = 'd8490786b0a1159959e5456890f4367a81005faac30817ae7cd0d6246fdfa2ae'


def make_states(rng):
    residency = builders.make_residency(['m1', 'm2'])
    return [
        server_state.ServerState(
            builders.make_server(
                f's{i}',
                residency=residency,
                zone=rng.choice(['z1', 'z2']),
                slots=rng.choice([12, 24]),
            ),
            own_load=rng.randrange(6),
            others_load=rng.randrange(24),
        )
        for i in range(rng.randrange(1, 12))
    ]


def make_job(rng):
    return types.SimpleNamespace(
        service=types.SimpleNamespace(name='engines'),
        priority=rng.randrange(3),
        prefix_hash=rng.choice([None, rng.randrange(2**32)]),
        route=types.SimpleNamespace(
            latency_target_s=rng.choice([0.257, 0.411, 2.507])
        ),
        is_plain=False,
    )


def decide(rng):
    states = make_states(rng)
    view = types.SimpleNamespace(
        reachability=reachability.Reachability(),
        service_time_s=lambda service, default_s: 1.44,
        health=types.SimpleNamespace(
            failure_rate=lambda server_id, now: int(server_id[1:]) / 40
        ),
    )
    exchange = types.SimpleNamespace(instances=12)
    found = availability.Availability(
        builders.make_settings(),
        view,
        peers.PeerDirectory(),
        exchange,
        engine_memory.EngineMemory(view, is_enabled=False),
    )
    candidates, best = found.best_free(make_job(rng), states)
    return [
        (c.id, c.zone, c.slots, c.load, c.failure_rate, c.slowdown)
        for c in candidates
    ], best and best.server.id


class RecordedChoiceTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_decisions_without_learned_capacity_are_unchanged(self):
        # Guards against the feature taking effect where it is switched off.
        rng = random.Random(11)
        digest = hashlib.sha256()
        with mock.patch.object(availability.random, 'random', rng.random):
            for _ in range(ROUNDS):
                digest.update(repr(decide(rng)).encode())
        self.assertEqual(digest.hexdigest(), RECORDED)
