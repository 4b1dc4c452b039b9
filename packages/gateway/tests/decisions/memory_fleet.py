"""Replay of requests in engines whose memory is scarcer than their slots."""

import dataclasses
import heapq
import itertools
import math
import random
import types

import anyio
from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.control import memory_reports
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import engine_memory as decisions
from wagtailtide_gateway.decisions import pace
from wagtailtide_gateway.decisions import server_choice
from wagtailtide_testing import virtual_time

from tests import builders

CAPACITY = 69_660
SLOTS = 12

# Seconds of an urgent exchange, see scheduling_fleet.
URGENT_EXCHANGE_S = 0.004

# Load above which an engine gets no urgent request.
LOAD_LIMIT = admission.load_limit(0, SLOTS, 0.4, 0.4)


@dataclasses.dataclass(frozen=True)
class Load:
    """What is replayed.

    Attributes:
        instances: Number of instances.
        engines: Number of engines.
        prefixes: Number of shared beginnings of prompts.
        sizes: Tokens of a request, one of these at random.
        arrivals_per_s: Requests a second at all instances.
        service_s: Mean seconds that a request runs.
        duration_s: Simulated seconds.
        leader_lost_at_s: Second at which the leader is lost.
        leaderless_s: Seconds until there is another one.
    """

    instances: int = 124
    engines: int = 56
    prefixes: int = 200
    sizes: tuple[int, ...] = (826, 2_371)
    arrivals_per_s: float = 500.0
    service_s: float = 1.5
    duration_s: float = 10.0
    leader_lost_at_s: float = math.inf
    leaderless_s: float = 0.0


class _Instance:
    """The EngineMemory of one instance, and its view of the engines."""

    def __init__(self, number, load):
        self.name = f'front-{number:03}'
        residency = builders.make_residency(['m1'])
        self.states = [
            server_state.ServerState(
                builders.make_server(
                    f's{engine:02}', slots=SLOTS, residency=residency
                )
            )
            for engine in range(load.engines)
        ]
        view = types.SimpleNamespace(
            states={state.server.id: state for state in self.states},
            of_service=lambda service: self.states,
            service_time_s=lambda service, default_s: load.service_s,
        )
        self.memory = engine_memory.EngineMemory(view)
        self.sections = (
            self.memory.section(),
            self.memory.reservations_section(),
        )
        self.reported_loads = [0] * load.engines
        self.urgent_at = 0.0


class Replay:
    """One replay, with the EngineMemory of each instance.

    A request that needs a reservation asks for it once.

    Args:
        load: The Load.
        seed: Seed of all random numbers.

    Attributes:
        most: Largest number of tokens in an engine.
        served: Number of requests that an engine got.
        refused: Number of requests that fitted in none.
    """

    def __init__(self, load, seed=1):
        random.seed(seed)
        self.load = load
        self.most = self.served = self.refused = 0
        self._held = [0] * load.engines
        self._load_sums = [0] * load.engines
        self._instances = [_Instance(n, load) for n in range(load.instances)]
        self._leader = self._instances[0].sections
        self._is_leader_lost = False
        self._order = itertools.count()
        self._events = []

    @virtual_time.run_without_io
    async def run(self):
        """Replay from an idle fleet, and return this."""
        interval_s = pace.exchange_interval_s(self.load.instances)
        await self._settle(interval_s)
        start_at = anyio.current_time()
        for instance in self._instances:
            phase_s = random.uniform(0.0, interval_s)
            self._plan(start_at + phase_s, self._exchange, instance)
        self._plan(start_at, self._arrive)
        while self._events[0][0] < start_at + self.load.duration_s:
            at, _, function, args = heapq.heappop(self._events)
            await anyio.sleep(at - anyio.current_time())
            function(*args)

    def _plan(self, at, function, *args):
        heapq.heappush(self._events, (at, next(self._order), function, args))

    async def _settle(self, interval_s):
        """Let the leader know all instances, as idle ones."""
        until = anyio.current_time() + memory_reports.REPORT_TTL_S
        while anyio.current_time() < until + 2.0 * interval_s:
            for instance in self._instances:
                self._exchange_sections(instance)
            await anyio.sleep(interval_s)
        self._lost_at = anyio.current_time() + self.load.leader_lost_at_s

    def _arrive(self):
        load, now = self.load, anyio.current_time()
        gap_s = random.expovariate(load.arrivals_per_s)
        self._plan(now + gap_s, self._arrive)
        instance = random.choice(self._instances)
        job = self._make_job(random.choice(load.sizes))
        memory = instance.memory
        fitting = memory.fitting(
            job, instance.states, load.instances, load.service_s
        )
        best = self._choose(instance, fitting)
        if best is None:
            self.refused += 1
        elif not memory.needs_reservation(job, load.instances):
            self._start(instance, job, best)
        else:
            rest = sorted(fitting - {best})
            random.shuffle(rest)
            memory.reserve(job, [best, *rest])
            pause_s = load.instances / pace.MAX_EXCHANGES_PER_S
            at = max(now, instance.urgent_at + pause_s) + URGENT_EXCHANGE_S
            self._plan(at, self._request_reservation, instance, job)

    def _request_reservation(self, instance, job):
        instance.urgent_at = now = anyio.current_time()
        own, leader = instance.sections[1], self._leader[1]
        if not self._is_leaderless(now):
            leader.receive(instance.name, own.make_report(), now)
            own.apply(leader.make_update(instance.name, now), now)
        reserved = instance.memory.reserved_server(job)
        if reserved is None:
            instance.memory.withdraw_reservation(job)
            self.refused += 1
        else:
            self._start(instance, job, reserved)

    def _start(self, instance, job, server_id):
        load, now = self.load, anyio.current_time()
        number = int(server_id[1:])
        state, tokens = instance.states[number], job.req.tokens
        self.served += 1
        state.own_load += 1
        instance.memory.record_start(job, state)
        self._held[number] += tokens
        self.most = max(self.most, self._held[number])
        end_at = now + random.uniform(0.5, 1.5) * load.service_s
        self._plan(end_at, self._end, instance, job, number)

    def _end(self, instance, job, number):
        state, tokens = instance.states[number], job.req.tokens
        state.own_load -= 1
        instance.memory.record_end(job, state, tokens)
        self._held[number] -= tokens

    def _choose(self, instance, fitting):
        """Return the id of the best engine, None if all are full."""
        candidates = [
            server_choice.Candidate(
                state.server.id, 'z1', SLOTS, state.load, 0.0
            )
            for state in instance.states
            if state.server.id in fitting
        ]
        best = server_choice.choose_server(
            candidates,
            'z1',
            random.randrange(self.load.prefixes),
            random.random,
        )
        if best is None or best.load >= LOAD_LIMIT:
            return None
        return best.id

    def _make_job(self, tokens):
        engine = types.SimpleNamespace(
            kv_capacity_tokens=CAPACITY, slots=SLOTS
        )
        return types.SimpleNamespace(
            service=types.SimpleNamespace(name='engines', engine=engine),
            req=types.SimpleNamespace(
                tokens=tokens, attempt_id=str(next(self._order))
            ),
            demand_key=('engines', 'm1'),
            memory_window=None,
            memory_chances={},
            memory_exclusions=decisions.NO_EXCLUSIONS,
            reservation=None,
        )

    def _is_leaderless(self, now):
        return 0.0 <= now - self._lost_at < self.load.leaderless_s

    def _exchange(self, instance):
        now = anyio.current_time()
        interval_s = pace.exchange_interval_s(self.load.instances)
        self._plan(now + interval_s, self._exchange, instance)
        if self._is_leaderless(now):
            return
        if now >= self._lost_at and not self._is_leader_lost:
            self._start_term()
        self._exchange_sections(instance)
        self._exchange_loads(instance)

    def _exchange_sections(self, instance):
        now = anyio.current_time()
        reports = [section.make_report() for section in instance.sections]
        for section, report in zip(self._leader, reports, strict=True):
            section.receive(instance.name, report, now)
        for own, section in zip(instance.sections, self._leader, strict=True):
            own.apply(section.make_update(instance.name, now), now)

    def _exchange_loads(self, instance):
        for number, state in enumerate(instance.states):
            reported = instance.reported_loads[number]
            self._load_sums[number] += state.own_load - reported
            instance.reported_loads[number] = state.own_load
            state.others_load = self._load_sums[number] - state.own_load

    def _start_term(self):
        """Let another leader begin, which has no report yet."""
        self._is_leader_lost = True
        for section in self._leader:
            section.start_term()
        self._load_sums = [0] * self.load.engines
        for instance in self._instances:
            instance.reported_loads = [0] * self.load.engines
