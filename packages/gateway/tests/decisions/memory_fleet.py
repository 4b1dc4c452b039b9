"""Replay of requests in engines whose memory is scarcer than their slots."""

import dataclasses
import heapq
import itertools
import random

from wagtailtide_gateway.control import engine_memory as engine_memory_control
from wagtailtide_gateway.control import memory_reports
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
    """

    instances: int = 124
    engines: int = 56
    prefixes: int = 200
    sizes: tuple[int, ...] = (826, 2_371)
    arrivals_per_s: float = 500.0
    service_s: float = 1.5
    duration_s: float = 10.0


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
        # What each instance knows of all others, and since when.
        self._known = [[0] * load.engines for _ in range(load.instances)]
        self._known_loads = [[0] * load.engines for _ in range(load.instances)]
        self._known_at = [0.0] * load.instances
        self._reported = [[0] * load.engines for _ in range(load.instances)]
        self._reported_loads = [
            [0] * load.engines for _ in range(load.instances)
        ]
        self._ids = range(load.engines)
        self._wanted = [0] * load.instances
        self._large = [
            large_requests.LargeRequests() for _ in range(load.instances)
        ]
        self._rates = [0.0] * load.instances
        self._known_rates = [0.0] * load.instances
        self._sums = [0] * load.engines
        self._load_sums = [0] * load.engines
        self._sizes = engine_memory.RequestSizes(CAPACITY / SLOTS)

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
        instance = random.randrange(self.load.instances)
        tokens = random.choice(self.load.sizes)
        self._sizes.record(tokens)
        own, known = self._own[instance], self._known[instance]
        age_s = now - self._known_at[instance] + interval_s
        self._wanted[instance] += tokens
        number = self.served + self.refused
        chances = engine_memory.chances(number, self._ids, 0)
        others = engine_memory.Others(
            True, age_s, self.load.instances - 1, self.load.service_s
        )
        share = engine_memory.make_share_function(
            tokens,
            others,
            self._sizes,
            CAPACITY,
        )
        rate, loads = self._known_rates[instance], self._known_loads[instance]
        shares = [
            share(own[engine], known[engine], loads[engine], rate)
            for engine in self._ids
        ]
        fitting = [e for e in self._ids if chances[e] < shares[e]]
        is_large = large_requests.is_large(tokens, CAPACITY, SLOTS)
        self._large[instance].record_wanted('m1', tokens, is_large, now)
        if is_large and self.load.instances > 1:
            hold = engine_memory.make_hold_function(
                others, self._sizes, CAPACITY
            )
            free = [
                CAPACITY - own[engine] - hold(known[engine], loads[engine])
                for engine in self._ids
            ]
            fitting = self._fitting_large(
                instance, tokens, shares, free, rate * age_s, now
            )
        best = server_choice.choose_server(
            [self._candidate(instance, engine) for engine in fitting],
            'z1',
            random.randrange(self.load.prefixes),
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

    def _fitting_large(self, instance, tokens, shares, free, wanted, now):
        large, count = self._large[instance], self.load.engines
        interval_s = pace.exchange_interval_s(self.load.instances)
        period_s = engine_memory_control.INTERVALS_UNTIL_KNOWN * interval_s
        half_s = memory_reports.INTERVALS_OF_HALF_TURN * interval_s
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
            large_requests.Turn(
                instance, self.load.instances, int(now / half_s)
            ),
            large.rise('m1', period_s, now),
            self._sizes.root_mean_square,
            period_s,
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
        for engine in range(self.load.engines):
            own = self._own[instance][engine]
            loads = self._own_loads[instance][engine]
            self._sums[engine] += own - self._reported[instance][engine]
            self._load_sums[engine] += (
                loads - self._reported_loads[instance][engine]
            )
            self._reported[instance][engine] = own
            self._reported_loads[instance][engine] = loads
            self._known[instance][engine] = self._sums[engine] - own
            self._known_loads[instance][engine] = (
                self._load_sums[engine] - loads
            )
        elapsed_s = max(0.1, now - self._known_at[instance])
        self._rates[instance] = self._wanted[instance] / elapsed_s
        self._wanted[instance] = 0
        self._known_rates[instance] = sum(self._rates) - self._rates[instance]
        self._known_at[instance] = now
