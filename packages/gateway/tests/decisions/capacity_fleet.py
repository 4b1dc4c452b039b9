"""Simulates a fleet of engines and the instances that learn their speed."""

import dataclasses
import random
import types
from unittest import mock

import anyio
import cbor2
from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import server_performance
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import pace
from wagtailtide_gateway.decisions import reachability
from wagtailtide_gateway.serving import availability
from wagtailtide_gateway.serving import capacity_recorder

from tests import builders

TICK_S = 0.02
TOKENS_PER_EVENT = 8
PROMPT_TOKENS_PER_S = 38_000.0
STEP_S = 0.005

# Part of a step's time that a full batch adds.
BATCH_SHARE = 0.4

# Part of a step's time that each prompt adds while it is read.
READING_DRAG = 0.1

# Waiting requests look for a server this often, and leave after this time.
RETRY_S = 0.05
PATIENCE_S = 0.4

# A request is served if its first event comes in this time, and its stream in
# this multiple of the time in a full batch of a normal server.
MAX_FIRST_S = 1.0
MAX_STRETCH = 2.3


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        model: Name of the model.
        pace: Time of a step relative to the fastest model.
        prompt: Tokens of the prompt.
        events: Number of events.
        weight: Share of the requests.
    """

    model: str
    pace: float
    prompt: int
    events: int
    weight: float

    @property
    def stream_s(self):
        """Seconds in a full batch of a normal server."""
        step_s = STEP_S * (1.0 + BATCH_SHARE) * self.pace
        return self.events * TOKENS_PER_EVENT * step_s

    @property
    def slot_s(self):
        """Seconds that it occupies a slot of a full batch."""
        return self.stream_s + self.prompt / PROMPT_TOKENS_PER_S


KINDS = (
    Kind('m1', 1.0, 826, 36, 0.55),
    Kind('m2', 2.0, 2_368, 3, 0.3),
    Kind('m3', 9.0, 1_500, 5, 0.05),
    Kind('m1', 1.0, 3_000, 120, 0.1),
)
LARGE = Kind('m1', 1.0, 12_000, 3, 0.0)


class Stream:
    """A request in a server."""

    def __init__(self, kind, tracker, arrived_at, at_end):
        self.kind = kind
        self.tracker = tracker
        self.arrived_at = arrived_at
        self.at_end = at_end
        self.prefill_s = kind.prompt / PROMPT_TOKENS_PER_S
        self.steps = 0.0
        self.events = 0
        self.first_at = None

    def run(self, now, slowness, step_s):
        """Run for one tick; return whether the stream has ended.

        Args:
            now: Time in seconds.
            slowness: How much longer the prompt takes than on a normal server.
            step_s: Duration of its steps in seconds.
        """
        used_s = min(TICK_S, self.prefill_s * slowness)
        self.prefill_s = max(0.0, self.prefill_s - used_s / slowness)
        left_s = TICK_S - used_s
        return left_s > 0.0 and self._advance(now - left_s, left_s, step_s)

    def _advance(self, start, seconds, step_s):
        """Run for some time; return whether the stream has ended."""
        steps = self.steps + seconds / step_s
        while (self.events + 1) * TOKENS_PER_EVENT <= steps:
            self.events += 1
            due = self.events * TOKENS_PER_EVENT
            at = start + (due - self.steps) * step_s
            if self.first_at is None:
                self.first_at = at
            if self.tracker is not None:
                self.tracker.note_events(self.events, at)
                self.tracker.note_written(at)
            if self.events == self.kind.events:
                return True
        self.steps = steps
        return False


def own_paces(paces):
    """Return the paces of streams that do not affect each other."""
    return paces


class Engine:
    """A simulated server. Streams are slower while it reads prompts.

    Args:
        slots: Number of its slots.
        slowness: Function of the time and the number of running requests, see
            Fleet.
        mix: Function that returns the pace of each stream of a batch, from
            the paces that they have without the others.
    """

    def __init__(self, slots, slowness, mix=own_paces):
        self.slots = slots
        self.slowness = slowness
        self.mix = mix
        self.running = []
        self.queue = []
        self.peak = 0

    def tick(self, now):
        """Advance to a time in seconds."""
        while self.queue and len(self.running) < self.slots:
            self.running.append(self.queue.pop(0))
        self.peak = max(self.peak, len(self.running) + len(self.queue))
        count = len(self.running)
        slowness = self.slowness(now, count)
        reading = sum(s.prefill_s > 0.0 for s in self.running)
        factor = slowness * (1.0 + BATCH_SHARE * count / self.slots)
        factor *= 1.0 + READING_DRAG * reading
        paces = self.mix([s.kind.pace for s in self.running])
        ended = [
            stream
            for stream, pace in zip(self.running, paces, strict=True)
            if stream.run(now, slowness, STEP_S * pace * factor)
        ]
        for stream in ended:
            self.running.remove(stream)
            stream.at_end(stream, now)


class Instance:
    """An instance with its view of the servers."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.states = {
            f's{i}': server_state.ServerState(
                builders.make_server(
                    f's{i}',
                    slots=fleet.slots,
                    residency=builders.make_residency(models),
                )
            )
            for i, models in enumerate(fleet.models)
        }
        self.capable = {
            kind.model: [
                state
                for state in self.states.values()
                if kind.model in state.server.residency.models
            ]
            for kind in fleet.kinds
        }
        self.view = types.SimpleNamespace(
            states=self.states,
            reachability=reachability.Reachability(),
            service_time_s=lambda service, default_s: fleet.service_s,
            health=types.SimpleNamespace(failure_rate=lambda id_, now: 0.0),
        )
        self.recorder = capacity_recorder.CapacityRecorder()
        self.performance = server_performance.ServerPerformance(
            self.view, self.recorder.take, self.recorder.batches.take
        )
        self.availability = availability.Availability(
            builders.make_settings(learns_capacity=fleet.mode != 'off'),
            self.view,
            peers.PeerDirectory(),
            types.SimpleNamespace(
                instances=fleet.instance_count, interval_s=fleet.interval_s
            ),
            engine_memory.EngineMemory(self.view, is_enabled=False),
        )
        self.next_exchange_at = (
            fleet.start + fleet.interval_s * number / fleet.instance_count
        )

    def try_send(self, kind, arrived_at, now):
        """Send a request; return whether a server took it."""
        job = make_job(kind)
        _, state = self.availability.best_free(job, self.capable[kind.model])
        if state is None:
            return False
        index = int(state.server.id[1:])
        state.own_load += 1
        tracker = None
        if self.fleet.mode == 'learned':
            tracker = self.recorder.start(job, state, None)

        def at_end(stream, ended_at):
            state.own_load -= 1
            if tracker is not None:
                tracker.end(ended_at)
            self.fleet.note_end(stream, index, ended_at)

        self.fleet.sent.append((now - self.fleet.start, index))
        stream = Stream(kind, tracker, arrived_at, at_end)
        self.fleet.engines[index].queue.append(stream)
        return True


def make_job(kind):
    return types.SimpleNamespace(
        req=types.SimpleNamespace(
            model=kind.model, adapter=None, prompt_tokens=kind.prompt
        ),
        service=types.SimpleNamespace(name='engines'),
        route=types.SimpleNamespace(latency_target_s=0.411),
        priority=1,
        prefix_hash=None,
        is_plain=False,
    )


class Fleet:
    """Replays a load.

    Args:
        slowness: Function of the server's index, the time in seconds and the
            number of running requests that returns how much longer than on a
            normal server everything takes.
        mode: `learned`, `known` or `off`.
        known: Function of the index and the time that returns the Capacity.
        load: Arriving work as a share of what normal servers can do.
        instances: Number of instances.
        engines: Number of servers.
        slots: Slots of each.
        extra: Function of the time in seconds that returns Kinds to send
            besides, with the index of the server or None.
        leaders: Function of the time that returns the number of the leader,
            or None.
        kinds: The Kinds of requests.
        models: Function that returns the names of the models in a server, by
            its index; None if all are in each server.
        mix: How the models of a batch slow each other, see Engine.
    """

    def __init__(
        self,
        slowness,
        mode='learned',
        known=None,
        load=0.7,
        instances=12,
        engines=6,
        slots=24,
        seed=1,
        extra=lambda t: (),
        leaders=lambda t: 0,
        kinds=KINDS,
        models=None,
        mix=own_paces,
    ):
        self.mode = mode
        self.known = known
        self.slots = slots
        self.instance_count = instances
        self.interval_s = pace.exchange_interval_s(instances)
        self.random = random.Random(seed)
        self.start = anyio.current_time()
        self.kinds = kinds
        self.weights = [kind.weight for kind in kinds]
        all_models = list(dict.fromkeys(kind.model for kind in kinds))
        self.models = [
            all_models if models is None else models(i) for i in range(engines)
        ]
        self.service_s = sum(k.weight * k.slot_s for k in kinds)
        self.rate_per_s = load * engines * slots / self.service_s
        self.extra = extra
        self.leaders = leaders
        self.leader = None
        self.engines = [
            Engine(
                slots,
                lambda now, count, i=i: slowness(i, now - self.start, count),
                mix,
            )
            for i in range(engines)
        ]
        self.instances = [Instance(self, n) for n in range(instances)]
        self.loads = {}
        self.waiting = []
        self.sent = []
        self.results = []
        self.estimates = []
        self.section_sizes = [0, 0, 0]

    async def run(self, seconds):
        """Replay for some time."""
        next_at = self.start
        while anyio.current_time() < self.start + seconds:
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            if self.mode == 'known':
                self._set_known(now)
            for engine in self.engines:
                engine.tick(now)
            self._exchange(now)
            while next_at <= now:
                self._arrive(self._draw(), next_at, now)
                next_at += self.random.expovariate(self.rate_per_s)
            for kind, index in self.extra(now - self.start):
                self._send_extra(kind, index, now)
            self._retry(now)
            capacities = [s.capacity for s in self._observer().states.values()]
            self.estimates.append((now - self.start, capacities))

    def _observer(self):
        """Return an instance that is never the leader."""
        return self.instances[-1]

    def _draw(self):
        return self.random.choices(self.kinds, self.weights)[0]

    def _arrive(self, kind, arrived_at, now):
        instance = self.random.choice(self.instances)
        if not instance.try_send(kind, arrived_at, now):
            self.waiting.append((instance, kind, arrived_at, now))

    def _send_extra(self, kind, index, now):
        """Send a request that is not counted to a server."""
        self.engines[index].queue.append(
            Stream(kind, None, now, lambda stream, ended_at: None)
        )

    def _retry(self, now):
        still = []
        for instance, kind, arrived_at, tried_at in self.waiting:
            if now - arrived_at > PATIENCE_S:
                self.results.append((arrived_at - self.start, None, False))
            elif now - tried_at < RETRY_S:
                still.append((instance, kind, arrived_at, tried_at))
            elif not instance.try_send(kind, arrived_at, now):
                still.append((instance, kind, arrived_at, now))
        self.waiting = still

    def note_end(self, stream, index, ended_at):
        """Record whether a request was served."""
        is_served = (
            stream.first_at - stream.arrived_at <= MAX_FIRST_S
            and ended_at - stream.first_at
            <= MAX_STRETCH * stream.kind.stream_s + TICK_S
        )
        arrived_s = stream.arrived_at - self.start
        self.results.append((arrived_s, index, is_served))

    def _set_known(self, now):
        for instance in self.instances:
            for i, state in enumerate(instance.states.values()):
                state.capacity = self.known(i, now - self.start)

    def _exchange(self, now):
        leader = self.leaders(now - self.start)
        if leader != self.leader:
            self.leader = leader
            if leader is not None:
                self.instances[leader].performance.start_term()
                self.loads = {}
        for number, instance in enumerate(self.instances):
            if now < instance.next_exchange_at:
                continue
            instance.next_exchange_at += self.interval_s
            report = batches = None
            if self.mode == 'learned':
                report = instance.performance.make_report()
                batches = instance.performance.make_batch_report()
            if leader is not None:
                self._exchange_with(number, instance, report, batches, now)

    def _exchange_with(self, number, instance, report, batches, now):
        own = [s.own_load for s in instance.states.values()]
        self.loads[number] = own
        totals = [
            sum(column) for column in zip(*self.loads.values(), strict=True)
        ]
        for state, total, part in zip(
            instance.states.values(), totals, own, strict=True
        ):
            state.others_load = total - part
        if self.mode != 'learned':
            return
        performance = self.instances[self.leader].performance
        update = performance.make_update('x', now)
        if report is not None:
            performance.receive('x', report, now)
            self._note_size(0, report)
        if batches is not None:
            performance.receive_batches('x', batches, now)
            self._note_size(2, batches)
        self._note_size(1, update)
        instance.performance.apply(update, now)

    def _note_size(self, index, value):
        """Record the largest size in bytes of a message."""
        size = len(cbor2.dumps(value))
        self.section_sizes[index] = max(self.section_sizes[index], size)

    def served_share(self, since_s=0.0, until_s=float('inf')):
        """Return the share of served requests of those that arrived."""
        found = [
            is_served
            for arrived_s, _, is_served in self.results
            if since_s <= arrived_s < until_s
        ]
        return sum(found) / len(found)

    def sent_share(self, index, since_s, until_s):
        """Return the share of requests that a server got."""
        found = [i for s, i in self.sent if since_s <= s < until_s]
        return found.count(index) / len(found)

    def found_at(self, index, is_found, since_s):
        """Return when an instance first had an estimate, or infinity."""
        return next(
            (
                at
                for at, capacities in self.estimates
                if at >= since_s and is_found(capacities[index])
            ),
            float('inf'),
        )


async def replay(seconds, **kwargs):
    """Return a Fleet after a replay; the arguments are those of Fleet."""
    fleet = Fleet(**kwargs)
    with mock.patch.object(random, 'random', fleet.random.random):
        await fleet.run(seconds)
    return fleet
