"""Replay of many servers that come back cold while callers wait.

The instances use the same decisions and the same exchange of limits as in
production; messages, arrivals and what each instance learns are delayed by
random times.
"""

import dataclasses
import heapq
import itertools
import random
import types

from wagtailtide_gateway.control import server_limits as exchange
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import cold_servers
from wagtailtide_gateway.decisions import server_limits

from tests import builders

STEP_S = 0.02

# The deployment's rule, and its bound on requests in any one second.
START_S = 3.0
PER_S = 8.0
OVERAGE = 1.5
SLACK = 5
MAX_IN_1_S = PER_S * OVERAGE + SLACK

# Largest delay in seconds of a message between instances, one way, and from a
# decision to the arrival at the server.
MAX_MESSAGE_S = 0.05
MAX_ARRIVAL_S = 0.1

RULE = cold_servers.make_rule(START_S, PER_S, OVERAGE, SLACK)


@dataclasses.dataclass(frozen=True)
class Fleet:
    """What is replayed.

    Attributes:
        instances: Number of instances.
        servers: Number of servers, cold from the time 0 on.
        learned_within_s: Time within which each instance learns of a server.
        leaderless: Start and end in seconds of a time without a leader, after
            which another one leads.
        deaf_share: Share of the instances that never hear a leader.
        deaf_count: Number of instances that these know of.
        waiting: Requests that wait in each instance at all times.
        cold_again_at: Time at which all servers become cold again, None if
            they do not.
        duration_s: Simulated seconds.
    """

    instances: int = 94
    servers: int = 14
    learned_within_s: float = 1.0
    leaderless: tuple[float, float] = (99.0, 99.0)
    deaf_share: float = 0.0
    deaf_count: int = 94
    waiting: int = 3
    cold_again_at: float | None = None
    duration_s: float = START_S


class _Instance:
    def __init__(self, name, server_ids):
        self.name = name
        self.states = {s: _make_state(s) for s in server_ids}
        self.known = set()
        self.waiters = []
        self.exchanged_at = -1.0
        self.exchange_at = random.uniform(0.0, 0.8)


def _make_state(server_id):
    cold = cold_servers.ColdStart(lambda: RULE)
    limit = server_limits.ServerLimit(cold)
    return server_state.ServerState(
        builders.make_server(server_id), limit=limit
    )


class Replay:
    """One replay; `arrivals` has the times in seconds by server id.

    Args:
        fleet: The Fleet.
        seed: Seed of all random times.
    """

    def __init__(self, fleet, seed=1):
        random.seed(seed)
        self.fleet = fleet
        self.ids = [f's{n}' for n in range(fleet.servers)]
        self.instances = [
            _Instance(f'i{n}', self.ids) for n in range(fleet.instances)
        ]
        self.arrivals = {s: [] for s in self.ids}
        self._events, self._order = [], itertools.count()
        self._deaf = set(self.instances[: self._deaf_number()])
        self._lead(self.instances[-1])

    def _deaf_number(self):
        return round(self.fleet.deaf_share * self.fleet.instances)

    def _lead(self, leader):
        view = types.SimpleNamespace(states=leader.states)
        self._cluster = exchange.ClusterLimits(view)

    def run(self):
        """Replay, and return the most requests of a server in one second."""
        self._schedule_learning(0.0)
        if self.fleet.cold_again_at is not None:
            self._schedule_learning(self.fleet.cold_again_at)
        self._at(
            self.fleet.leaderless[1], lambda now: self._lead(self.instances[0])
        )
        for step in range(round(self.fleet.duration_s / STEP_S)):
            now = step * STEP_S
            while self._events and self._events[0][0] <= now:
                at, _, function = heapq.heappop(self._events)
                function(at)
            order = random.sample(self.instances, len(self.instances))
            for instance in order:
                self._step(instance, now)
        return max(map(most_in_1_s, self.arrivals.values()))

    def _at(self, at, function):
        heapq.heappush(self._events, (at, next(self._order), function))

    def _schedule_learning(self, cold_at):
        for instance in self.instances:
            for server_id in self.ids:
                delay_s = random.uniform(0.0, self.fleet.learned_within_s)
                self._at(cold_at + delay_s, _learn(instance, server_id))

    def _step(self, instance, now):
        limits = [instance.states[s].limit for s in instance.known]
        if not limits:
            return
        hears = self._hears(instance, now)
        count = None if hears else self._count(instance)
        for server_id in instance.known:
            limit = instance.states[server_id].limit
            if not limit.cold.is_limited(now) or limit.allows(count, now):
                limit.record_request(now)
                delay_s = random.uniform(0.0, MAX_ARRIVAL_S)
                self.arrivals[server_id].append(now + delay_s)
                if instance.waiters:
                    instance.waiters.pop().waiting -= 1
        wants = self._wait(instance, limits, now)
        pause_s = self.fleet.instances / 1000.0
        if hears and (
            now >= instance.exchange_at
            or (wants and now - instance.exchanged_at >= pause_s)
        ):
            self._exchange(instance, now)

    def _wait(self, instance, limits, now):
        while len(instance.waiters) < self.fleet.waiting:
            limit = min(limits, key=lambda x: x.queue_order(now))
            limit.waiting += 1
            instance.waiters.append(limit)
        return any([x.start_permit_request(now) for x in instance.waiters])

    def _hears(self, instance, now):
        start, end = self.fleet.leaderless
        return instance not in self._deaf and not start <= now < end

    def _count(self, instance):
        if instance in self._deaf:
            return self.fleet.deaf_count
        return self.fleet.instances

    def _exchange(self, instance, now):
        instance.exchanged_at = now
        instance.exchange_at = now + max(0.25, self.fleet.instances / 120.0)
        permits = exchange.permits_to_request(instance.states, now)
        report = builders.make_report(instance.name, permits=permits)

        def answer(at):
            cluster = self._cluster
            cluster.receive(report, at)
            update = types.SimpleNamespace(
                limits={}, permits=cluster.grant(report, at)
            )
            delay_s = random.uniform(0.0, MAX_MESSAGE_S)
            self._at(at + delay_s, lambda at: apply(update))

        def apply(update):
            exchange.apply_update(instance.states, update, False, now)

        self._at(now + random.uniform(0.0, MAX_MESSAGE_S), answer)


def _learn(instance, server_id):
    def learn(now):
        cold = instance.states[server_id].limit.cold
        if cold.note_stated(START_S, now):
            instance.states[server_id].limit.drop_permits()
        instance.known.add(server_id)

    return learn


def most_in_1_s(times):
    """Return the largest number of times within one second."""
    times = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
