"""Replay of requests in engines whose memory is scarcer than their slots."""

import dataclasses
import heapq
import itertools
import math
import random

from wagtailtide_gateway.control import engine_memory as engine_memory_control
from wagtailtide_gateway.control import memory_reports
from wagtailtide_gateway.control import others_tokens
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import engine_memory
from wagtailtide_gateway.decisions import large_requests
from wagtailtide_gateway.decisions import pace
from wagtailtide_gateway.decisions import server_choice

CAPACITY = 69_660
SLOTS = 12

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


class Replay:
    """One replay.

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
        self._loads = [0] * load.engines
        self._own = [[0] * load.engines for _ in range(load.instances)]
        self._own_loads = [[0] * load.engines for _ in range(load.instances)]
        # What each instance knows of all others.
        self._others = [
            others_tokens.OthersTokens(lambda server_id: server_id)
            for _ in range(load.instances)
        ]
        self._known_loads = [[0] * load.engines for _ in range(load.instances)]
        self._reported_at = [0.0] * load.instances
        self._reported_loads = [
            [0] * load.engines for _ in range(load.instances)
        ]
        self._ids = range(load.engines)
        self._wanted = [0] * load.instances
        self._large = [
            large_requests.LargeRequests() for _ in range(load.instances)
        ]
        self._rates = [0.0] * load.instances
        self._leader = memory_reports.MemoryReports()
        self._is_leader_lost = False
        self._load_sums = [0] * load.engines
        self._sizes = engine_memory.RequestSizes(CAPACITY / SLOTS)
        self._period_s = (
            engine_memory_control.INTERVALS_UNTIL_KNOWN
            * pace.exchange_interval_s(load.instances)
        )
        self._start_idle()

    def _start_idle(self):
        """Let the leader know all instances, as idle ones, for a while."""
        for at in (-memory_reports.REPORT_TTL_S, 0.0):
            for instance in range(self.load.instances):
                self._leader.receive(_name(instance), [{}, []], at)
        for instance, others in enumerate(self._others):
            others.apply(self._leader.make_update(_name(instance), 0.0), 0.0)

    def run(self):
        """Replay, and return this."""
        interval_s = max(0.25, self.load.instances / 120.0)
        order = itertools.count()
        events = [
            (random.uniform(0.0, interval_s), next(order), 'exchange', (i,))
            for i in range(self.load.instances)
        ]
        events.append((0.0, next(order), 'arrive', ()))
        heapq.heapify(events)
        while events[0][0] < self.load.duration_s:
            now, _, kind, args = heapq.heappop(events)
            if kind == 'exchange':
                self._exchange(*args, now)
                event = (now + interval_s, next(order), kind, args)
                heapq.heappush(events, event)
            elif kind == 'end':
                self._add(*args, -1)
            else:
                gap_s = random.expovariate(self.load.arrivals_per_s)
                heapq.heappush(events, (now + gap_s, next(order), kind, ()))
                sent = self._arrive(now, interval_s)
                if sent is not None:
                    end = now + random.uniform(0.5, 1.5) * self.load.service_s
                    heapq.heappush(events, (end, next(order), 'end', sent))
        return self

    def _arrive(self, now, interval_s):
        load = self.load
        instance = random.randrange(load.instances)
        tokens = random.choice(load.sizes)
        self._sizes.record(tokens)
        self._wanted[instance] += tokens
        is_large = large_requests.is_large(tokens, CAPACITY, SLOTS)
        self._large[instance].record_wanted('m1', tokens, is_large, now)
        fitting = self._fitting(instance, tokens, is_large, now, interval_s)
        best = server_choice.choose_server(
            [self._candidate(instance, engine) for engine in fitting],
            'z1',
            random.randrange(load.prefixes),
            random.random,
        )
        if best is None or best.load >= LOAD_LIMIT:
            self.refused += 1
            return None
        self.served += 1
        if is_large:
            self._large[instance].record_sent(int(best.id), now)
        self._add(instance, int(best.id), tokens, 1)
        return instance, int(best.id), tokens

    def _fitting(self, instance, tokens, is_large, now, interval_s):
        """Return the engines that a request may use, as EngineMemory does."""
        load, known = self.load, self._others[instance]
        age_s = now - known.at + interval_s
        age_s = min(age_s, engine_memory.MAX_AGE_S + 0.5)
        others = engine_memory.Others(
            known.is_known, age_s, load.instances - 1, load.service_s
        )
        by_engine = known.tokens(load.service_s, now)
        by_engine = [by_engine.get(str(engine), 0) for engine in self._ids]
        rate = known.rates.get(('engines', 'm1'), 0.0)
        if others.are_unknown:
            rate = max(rate, others.instances * self._rates[instance])
        is_large = is_large and load.instances > 1
        in_turns = (
            is_large and known.turn is not None and not others.are_unknown
        )
        assumed = 0.0
        if is_large and not in_turns:
            assumed = others.instances * self._rise(
                instance, tokens, others, now
            )
        share = engine_memory.make_share_function(
            tokens,
            others,
            self._sizes,
            CAPACITY,
            assumed,
            is_large and not in_turns and not others.are_unknown,
        )
        own, loads = self._own[instance], self._known_loads[instance]
        shares = [
            share(own[engine], by_engine[engine], loads[engine], rate)
            for engine in self._ids
        ]
        if in_turns:
            hold = engine_memory.make_hold_function(
                others, self._sizes, CAPACITY
            )
            free = [
                CAPACITY - own[engine] - hold(by_engine[engine], loads[engine])
                for engine in self._ids
            ]
            return self._fitting_large(
                instance, tokens, shares, free, rate * age_s, now
            )
        number = self.served + self.refused
        chances = engine_memory.chances(number, self._ids, 0)
        return [e for e in self._ids if chances[e] < shares[e]]

    def _rise(self, instance, tokens, others, now):
        rise = self._large[instance].rise('m1', self._period_s, now)
        return max(rise, tokens) if others.are_unknown else rise

    def _fitting_large(self, instance, tokens, shares, free, wanted, now):
        large, count = self._large[instance], self.load.engines
        return large.fitting(
            tokens,
            [
                large_requests.Engine(
                    engine,
                    engine,
                    shares[engine],
                    free[engine],
                    wanted / count,
                )
                for engine in self._ids
            ],
            self._others[instance].turn,
            large.rise('m1', self._period_s, now),
            self._sizes.root_mean_square,
            self._period_s,
            now,
        )

    def _candidate(self, instance, engine):
        return server_choice.Candidate(
            id=str(engine),
            zone='z1',
            slots=SLOTS,
            load=self._known_loads[instance][engine]
            + self._own_loads[instance][engine],
            failure_rate=0.0,
        )

    def _add(self, instance, engine, tokens, sign):
        self._held[engine] += sign * tokens
        self._own[instance][engine] += sign * tokens
        self._own_loads[instance][engine] += sign
        self.most = max(self.most, self._held[engine])

    def _exchange(self, instance, now):
        lost_s = now - self.load.leader_lost_at_s
        if 0.0 <= lost_s < self.load.leaderless_s:
            return
        if lost_s >= 0.0 and not self._is_leader_lost:
            self._start_term()
        elapsed_s = max(0.1, now - self._reported_at[instance])
        self._reported_at[instance] = now
        self._rates[instance] = self._wanted[instance] / elapsed_s
        self._wanted[instance] = 0
        own = {
            str(engine): tokens
            for engine, tokens in enumerate(self._own[instance])
            if tokens
        }
        rows = [['engines', 'm1', self._rates[instance]]]
        self._leader.receive(_name(instance), [own, rows], now)
        update = self._leader.make_update(_name(instance), now)
        self._others[instance].apply(update, now)
        self._exchange_loads(instance)

    def _exchange_loads(self, instance):
        for engine, loads in enumerate(self._own_loads[instance]):
            self._load_sums[engine] += (
                loads - self._reported_loads[instance][engine]
            )
            self._reported_loads[instance][engine] = loads
            self._known_loads[instance][engine] = (
                self._load_sums[engine] - loads
            )

    def _start_term(self):
        """Let another leader begin, which has no report yet."""
        self._is_leader_lost = True
        self._leader.start_term()
        self._load_sums = [0] * self.load.engines
        self._reported_loads = [
            [0] * self.load.engines for _ in range(self.load.instances)
        ]


def _name(instance):
    return f'front-{instance:03}'
