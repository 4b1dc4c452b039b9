"""Replay of brittle servers under the load of many instances.

The instances use the same decisions and the same exchange of slots as in
production. Messages and requests are delayed by random times, service times
are random, and the instances get unequal parts of the load.
"""

import collections
import dataclasses
import random
import types

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import brittle_servers as exchange
from wagtailtide_gateway.control import server_limits
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.decisions import brittle_servers
from wagtailtide_gateway.decisions import pace

from tests import builders

STEP_S = 0.02

SLOTS = 24
SERVICE_S = 1.0

# A server that has fallen over is back after this many seconds.
DOWN_S = 3.0

# Largest delay in seconds of a message or a request, one way.
MAX_DELAY_S = 0.02

# A request that waits for longer is rejected.
MAX_WAIT_S = 4.0

# Seconds within which every instance learns that the servers are brittle.
LEARNED_WITHIN_S = 0.5


@dataclasses.dataclass(frozen=True)
class Fleet:
    """What is replayed.

    Attributes:
        instances: Number of instances.
        servers: Number of brittle servers.
        load: Requests that arrive, as a share of what the servers can run.
        tolerated: Rejections in a second that a server bears.
        queue: Requests that may wait in a server.
        down: Number of servers that are down at first.
        leaderless: Start and end in seconds of a time without a leader, after
            which another one leads.
        uses_slots: Whether slots are granted; else requests go to the server
            with the lowest load of the last exchange, and on when rejected.
        duration_s: Simulated seconds.
    """

    instances: int = 12
    servers: int = 9
    load: float = 0.94
    tolerated: int = 2
    queue: int = 0
    down: int = 0
    leaderless: tuple[float, float] = (99.0, 99.0)
    uses_slots: bool = True
    duration_s: float = 10.0

    @property
    def per_s(self):
        """Requests a second that the servers can run."""
        return self.servers * SLOTS / SERVICE_S


class _Server:
    """A server that falls over if it rejects too much."""

    def __init__(self, fleet, id_):
        self.fleet = fleet
        self.id = id_
        self.process = 1
        self.is_up = True
        self.running = {}
        self.queue = collections.deque()
        self.rejected_at = collections.deque()

    def receive(self, request, now):
        """Run, queue or reject a request; return whether it takes it."""
        if not self.is_up:
            return False
        if len(self.running) < SLOTS:
            self.running[request] = now + _service_s()
        elif len(self.queue) < self.fleet.queue:
            self.queue.append(request)
        else:
            self.rejected_at.append(now)
            while self.rejected_at[0] <= now - 1.0:
                self.rejected_at.popleft()
            return False
        return True

    @property
    def falls(self):
        return len(self.rejected_at) > self.fleet.tolerated

    def take_ended(self, now):
        """Return the requests that have ended."""
        ended = [r for r, at in self.running.items() if at <= now]
        for request in ended:
            del self.running[request]
            if self.queue:
                self.running[self.queue.popleft()] = now + _service_s()
        return ended

    def stop(self):
        """Fall over; return the requests that are lost."""
        lost = [*self.running, *self.queue]
        self.is_up = False
        self.running, self.queue = {}, collections.deque()
        self.rejected_at.clear()
        return lost


def _service_s():
    return SERVICE_S * random.uniform(0.5, 1.5)


class _Instance:
    def __init__(self, replay, name):
        self.name = name
        self.replay = replay
        self.view = servers.ServerView(lambda obj: obj.value, lambda: None)
        self.brittle = exchange.BrittleServers(
            self.view, lambda: replay.cluster, lambda service: SERVICE_S
        )
        self.view.brittle_limit_of = self.brittle.limit_of
        self.section = self.brittle.section()
        # Each waiting request with its arrival and the limit it waits for.
        self.waiting = collections.deque()
        self.loads = collections.Counter()
        self.exchange_at = random.uniform(0.0, 0.25)
        self.exchanged_at = -1.0
        self.is_exchanging = False

    def list_server(self, server, now):
        entry = builders.make_server(
            server.id,
            slots=SLOTS,
            residency=builders.make_residency(process_start_ms=server.process),
        )
        obj = ports.StoredObject(server.id, server.process, entry)
        self.view.apply_entries({server.id: obj}, now)

    def hear(self, now):
        """Hear of one server that it is brittle."""
        state = random.choice(list(self.view.states.values()))
        statement = brittle_servers.Statement(self.replay.fleet.tolerated, now)
        state.limit.brittle.update(statement, 'response')


class Replay:
    """One replay.

    Args:
        fleet: The Fleet.
        seed: Seed of all random times.

    Attributes:
        falls: Number of falls.
        served: Requests that were served.
        rejected: Requests that were rejected before they were sent.
        lost: Requests that were lost in falls.
        arrived: Requests that arrived.
    """

    def __init__(self, fleet, seed=1):
        random.seed(seed)
        self.fleet = fleet
        self.servers = {
            f's{n}': _Server(fleet, f's{n}') for n in range(fleet.servers)
        }
        self.instances = [
            _Instance(self, f'i{n}') for n in range(fleet.instances)
        ]
        self._weights = [random.uniform(0.5, 1.5) for _ in self.instances]
        self._leader = self.instances[0]
        self._reports = {}
        self._sent = {}
        self._tg = None
        self.falls = self.served = self.rejected = self.lost = 0
        self.arrived = 0
        self.cluster = types.SimpleNamespace(
            load_of_others=self._load_of_others,
            wanted_permits=self._wanted_permits,
            others_waiting=self._others_waiting,
        )
        self._lead(self._leader)

    def _lead(self, leader):
        self._leader = leader
        self._reports = {}
        if anyio.current_time() > 0.0:
            # The first leader has led for long.
            leader.section.start_term()
        self._limits = server_limits.ClusterLimits(leader.view, leader.brittle)

    def _load_of_others(self, server_id, instances):
        return sum(
            loads[server_id]
            for name, loads in self._reports.items()
            if name not in instances
        )

    def _wanted_permits(self, server_id):
        return self._limits.wanted_permits(server_id)

    def _others_waiting(self, server_id, instance):
        return self._limits.others_waiting(server_id, instance)

    async def run(self):
        """Replay until the end."""
        for instance in self.instances:
            for server in self.servers.values():
                instance.list_server(server, 0.0)
        async with anyio.create_task_group() as self._tg:
            for instance in self.instances:
                self._tg.start_soon(self._learn, instance)
            for server in list(self.servers.values())[: self.fleet.down]:
                server.stop()
                self._tg.start_soon(self._restart, server)
            self._tg.start_soon(self._change_leader)
            await self._load()
            self._tg.cancel_scope.cancel()

    async def _learn(self, instance):
        await anyio.sleep(random.uniform(0.0, LEARNED_WITHIN_S))
        instance.hear(anyio.current_time())

    async def _change_leader(self):
        start, end = self.fleet.leaderless
        await anyio.sleep(start)
        self._leader = None
        await anyio.sleep(end - start)
        self._lead(self.instances[-1])

    async def _load(self):
        due, steps = 0.0, round(self.fleet.duration_s / STEP_S)
        await anyio.sleep(LEARNED_WITHIN_S)
        for _ in range(steps):
            now = anyio.current_time()
            due += self.fleet.load * self.fleet.per_s * STEP_S
            while due >= 1.0:
                due -= 1.0
                self.arrived += 1
                (instance,) = random.choices(self.instances, self._weights)
                instance.waiting.append([now, None])
            for server in self.servers.values():
                for request in server.take_ended(now):
                    self.served += 1
                    self._end(request, now)
            order = random.sample(self.instances, len(self.instances))
            for instance in order:
                self._step(instance, now)
            await anyio.sleep(STEP_S)

    def _step(self, instance, now):
        while instance.waiting and (now - instance.waiting[0][0] > MAX_WAIT_S):
            self._leave(instance)
            self.rejected += 1
        choose = self._permitted if self.fleet.uses_slots else self._least
        while instance.waiting and (state := choose(instance, now)):
            self._leave(instance)
            state.limit.record_request(now)
            self._send(instance, state)
        wants = self._wait(instance, now) if self.fleet.uses_slots else False
        pause_s = self.fleet.instances / pace.MAX_EXCHANGES_PER_S
        if wants and now - instance.exchanged_at >= pause_s:
            instance.exchange_at = now
        is_free = self._leader is not None and not instance.is_exchanging
        if is_free and now >= instance.exchange_at:
            self._exchange(instance, now)

    def _leave(self, instance):
        _, limit = instance.waiting.popleft()
        if limit is not None:
            limit.waiting -= 1

    def _permitted(self, instance, now):
        count = None if self._leader is not None else self.fleet.instances
        states = [
            state
            for state in instance.view.states.values()
            if state.limit.brittle.per_s is not None
            and self.servers[state.server.id].is_up
            and state.limit.allows(count, now, SLOTS, state.own_load)
        ]
        return min(states, key=lambda s: s.own_load, default=None)

    def _least(self, instance, now):
        states = [
            state
            for state in instance.view.states.values()
            if self.servers[state.server.id].is_up
        ]
        best = min(states, key=_known_load, default=None)
        return best if best and best.load < 1.2 * SLOTS else None

    def _wait(self, instance, now):
        limits = {
            id(state.limit): state
            for state in instance.view.states.values()
            if self.servers[state.server.id].is_up
        }
        for waiter in instance.waiting:
            if waiter[1] is not None and id(waiter[1]) not in limits:
                waiter[1].waiting -= 1
                waiter[1] = None
            if waiter[1] is None and limits:
                state = min(
                    limits.values(),
                    key=lambda s: s.limit.queue_order(
                        now, s.server.slots - s.load
                    ),
                )
                waiter[1] = state.limit
                waiter[1].waiting += 1
        waits = {id(w[1]): w[1] for w in instance.waiting if w[1] is not None}
        return any([x.start_permit_request(now) for x in waits.values()])

    def _send(self, instance, state):
        state.own_load += 1
        self._tg.start_soon(self._arrive, instance, state)

    async def _arrive(self, instance, state):
        await anyio.sleep(random.uniform(0.0, MAX_DELAY_S))
        server, now = self.servers[state.server.id], anyio.current_time()
        request = object()
        self._sent[request] = (instance, state)
        if server.receive(request, now):
            return
        del self._sent[request]
        state.own_load -= 1
        if server.is_up:
            state.limit.brittle.note_rejected(now)
            if not self.fleet.uses_slots:
                # Rejected requests go on to another server at once.
                instance.waiting.appendleft([now, None])
            if server.falls:
                self._fall(server)
        else:
            self.lost += 1

    def _end(self, request, now):
        instance, state = self._sent.pop(request)
        state.own_load -= 1
        has_waiting = bool(instance.waiting)
        if state.limit.record_end(state.own_load, has_waiting, now):
            instance.exchange_at = now

    def _fall(self, server):
        self.falls += 1
        for request in server.stop():
            self.lost += 1
            _, state = self._sent.pop(request)
            state.own_load -= 1
        self._tg.start_soon(self._restart, server)

    async def _restart(self, server):
        await anyio.sleep(DOWN_S)
        server.process += 1
        server.is_up = True
        for instance in self.instances:
            self._tg.start_soon(self._list_later, instance, server)

    async def _list_later(self, instance, server):
        await anyio.sleep(random.uniform(0.0, 0.5))
        instance.list_server(server, anyio.current_time())

    def _exchange(self, instance, now):
        instance.exchanged_at = now
        instance.is_exchanging = True
        instance.exchange_at = now + pace.exchange_interval_s(
            self.fleet.instances
        )
        states = instance.view.states
        permits = server_limits.permits_to_request(states, now)
        loads = collections.Counter(
            {s: state.own_load for s, state in states.items()}
        )
        report = builders.make_report(
            instance.name, permits=permits, loads=loads
        )
        value = instance.section.make_report()
        self._tg.start_soon(self._answer, instance, report, value, now)

    async def _answer(self, instance, report, value, reported_at):
        await self._receive(instance, report, value, reported_at)
        instance.is_exchanging = False

    async def _receive(self, instance, report, value, reported_at):
        await anyio.sleep(random.uniform(0.0, MAX_DELAY_S))
        now, leader = anyio.current_time(), self._leader
        if leader is None:
            return
        self._reports[instance.name] = report.loads
        self._limits.receive(report, now)
        if value is not None:
            leader.section.receive(instance.name, value, now)
        update = types.SimpleNamespace(
            limits={}, permits=self._limits.grant(report, now)
        )
        value = leader.section.make_update(instance.name, now)
        totals = collections.Counter()
        for name, loads in self._reports.items():
            if name != instance.name:
                totals.update(loads)
        await anyio.sleep(random.uniform(0.0, MAX_DELAY_S))
        instance.section.apply(value, reported_at)
        states = instance.view.states
        server_limits.apply_update(states, update, False, reported_at)
        for server_id, state in states.items():
            state.others_load = totals[server_id]


def _known_load(state):
    return state.load + random.random()
