"""Instances that compete for engines, driven by a replayed load.

The instances run the Finder, its queues and the sections of their exchange
with a leader. Engines and the network are simulated in virtual time.
"""

import contextlib
import dataclasses
import heapq
import itertools
import random
import types

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_gateway import shared_state
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import engine_memory
from wagtailtide_gateway.decisions import pace
from wagtailtide_gateway.model import deployment
from wagtailtide_gateway.serving import finder

from tests import builders

MODEL = 'm1'

# Tokens that an engine has memory for, where memory limits requests.
CAPACITY = 69_660

SERVICE = deployment.Service(
    'engines',
    100,
    deployment.Engine(
        12,
        200_000.0,
        4,
        4.0,
        {MODEL: builders.make_model(MODEL)},
        kv_capacity_tokens=CAPACITY,
    ),
)

# Seconds from an urgent report until its update is applied: requests that
# arrive within 2 ms share it, and each way takes a millisecond.
URGENT_EXCHANGE_S = 0.004

# The stream classes of the page: priority, latency target and slot time.
CLASSES = {
    'urgent': (0, 0.257, 0.9),
    'note': (1, 0.411, 0.9),
    'backlog': (2, 2.507, 0.9),
}

# Time in seconds in which an engine processes the prompt of a preempted
# request again: 826 tokens at 0.2 ms (docs/measurements.md).
PROMPT_S = 0.165

_NUMBERS = itertools.count()


@dataclasses.dataclass
class Outcome:
    """What happened to one request.

    Attributes:
        kind: Name of its class.
        organisation: Name of its organisation.
        arrived_at: Time of its arrival.
        instance: Index of its instance.
        predicted_s: First predicted wait in seconds.
        waited_s: Seconds until it got a server.
        first_event_s: Seconds until its first event, None if it was rejected.
        rejected_s: Seconds until it was rejected, or None.
        retry_after_s: Retry-After of its rejection, or None.
    """

    kind: str
    organisation: str
    arrived_at: float
    instance: int
    predicted_s: float | None = None
    waited_s: float = 0.0
    first_event_s: float | None = None
    rejected_s: float | None = None
    retry_after_s: float | None = None

    @property
    def in_time(self):
        """Whether its first event came within the latency target."""
        return (
            self.first_event_s is not None
            and self.first_event_s <= CLASSES[self.kind][1]
        )


@dataclasses.dataclass(eq=False)
class _Run:
    """A request in an engine.

    Attributes:
        priority: Its priority.
        number: Place in the order of arrival.
        left_s: Seconds in a slot that it still needs.
        started: Event that is set when it gets a slot.
        preempted: Event that is set when it loses its slot.
    """

    priority: int
    number: int
    left_s: float
    started: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    preempted: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def __lt__(self, other):
        return (self.priority, self.number) < (other.priority, other.number)


class Engine:
    """An engine that runs requests in slots, the most urgent first.

    A request that finds no free slot takes that of the newest of the least
    urgent ones, if these are less urgent than it is.

    Attributes:
        preemptions: Number of requests that lost their slots.
        most: Largest number of requests held at once.
        most_tokens: Largest number of their tokens held at once.
    """

    def __init__(self, slots):
        self._slots = slots
        self._running = []
        self._queue = []
        self._tokens = 0
        self.preemptions = 0
        self.most = 0
        self.most_tokens = 0

    async def run(self, priority, service_s, tokens=0):
        """Run a request; return the seconds that it waited for a slot."""
        arrived_at = anyio.current_time()
        run = _Run(priority, next(_NUMBERS), service_s)
        waited_s = None
        self._tokens += tokens
        self.most_tokens = max(self.most_tokens, self._tokens)
        try:
            while True:
                self._admit(run)
                await run.started.wait()
                started_at = anyio.current_time()
                if waited_s is None:
                    waited_s = started_at - arrived_at
                with anyio.move_on_after(run.left_s):
                    await run.preempted.wait()
                if not run.preempted.is_set():
                    return waited_s
                # Its prompt is processed again.
                run.left_s -= anyio.current_time() - started_at
                run.left_s = max(run.left_s, 0.0) + PROMPT_S
                run.started, run.preempted = anyio.Event(), anyio.Event()
        finally:
            self._tokens -= tokens
            self._remove(run)

    def _admit(self, run):
        if len(self._running) < self._slots:
            self._start(run)
        else:
            newest = max(self._running)
            if newest.priority > run.priority:
                self.preemptions += 1
                self._running.remove(newest)
                newest.preempted.set()
                self._start(run)
            else:
                heapq.heappush(self._queue, run)
        self.most = max(self.most, len(self._running) + len(self._queue))

    def _start(self, run):
        self._running.append(run)
        run.started.set()

    def _remove(self, run):
        if run in self._queue:
            self._queue.remove(run)
            heapq.heapify(self._queue)
        if run in self._running:
            self._running.remove(run)
            if self._queue:
                self._start(heapq.heappop(self._queue))


class Instance:
    """One instance: its state, its Finder and its part of the exchanges."""

    def __init__(self, index, fleet, schedules_shares):
        cfg = builders.make_settings(
            instance=f'front-{index}',
            schedules_shares=schedules_shares,
            learns_capacity=schedules_shares,
        )
        port = types.SimpleNamespace(decode_config=None, decode_server=None)
        self.name = cfg.instance
        self.is_cut_off = False
        self.shared = shared_state.SharedState(
            port,
            anyio.current_time,
            limits_engine_memory=fleet.limits_memory,
            schedules_shares=schedules_shares,
            divides_slots=schedules_shares,
        )
        for server_id in fleet.engines:
            self.shared.servers.states[server_id] = server_state.ServerState(
                builders.make_server(
                    server_id,
                    slots=fleet.slots,
                    residency=builders.make_residency([MODEL]),
                )
            )
        self.shared.servers.confirm(float('inf'))
        self.exchange = types.SimpleNamespace(
            instances=fleet.size,
            interval_s=pace.exchange_interval_s(fleet.size),
            loading_s={},
            leaderless_instances=None,
            start_now=self._request_exchange,
        )
        self.urgent = anyio.Event()
        self.rate = pace.ExchangeRate()
        self.finder = finder.Finder(
            cfg,
            self.shared,
            self.exchange,
            types.SimpleNamespace(check=lambda job: None),
            lambda: False,
        )

    def _request_exchange(self):
        self.urgent.set()


class Fleet:
    """Instances, engines and a leader.

    Args:
        size: Number of instances.
        engines: Number of engines.
        slots: Slots of each engine.
        schedules_shares: Whether the instances schedule by shares.
        limits_memory: Whether the memory of engines limits requests.
        older: Number of instances of a build without sections.
        seed: Seed of the phases of the exchanges and of the load.
        deadlines_s: Deadline of the requests in seconds, by class.

    Attributes:
        outcomes: Outcome of each request.
        has_leader: Whether a leader answers.
        lost_reports: Probability that an exchange fails.
    """

    def __init__(
        self,
        size=124,
        engines=8,
        slots=12,
        schedules_shares=True,
        older=0,
        seed=1,
        deadlines_s=None,
        limits_memory=False,
    ):
        self.limits_memory = limits_memory
        self.deadlines_s = deadlines_s or dict.fromkeys(CLASSES, 4.0)
        self.size = size
        self.slots = slots
        self.rng = random.Random(seed)
        random.seed(seed)
        self.engines = {f's{n}': Engine(slots) for n in range(engines)}
        self.outcomes = []
        self.has_leader = True
        self.lost_reports = 0.0
        self.instances = [
            Instance(n, self, schedules_shares and n >= older)
            for n in range(size)
        ]
        self._sections = self.instances[-1].shared.sections
        self._loads = {}

    @property
    def capacity_per_s(self):
        """Requests a second that the engines can run."""
        return len(self.engines) * self.slots / CLASSES['urgent'][2]

    def replace_leader(self):
        """Let an instance lead that has no reports yet."""
        self._sections = self.instances[-2].shared.sections
        self._sections.start_term()
        self._loads = {}
        self.has_leader = True

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the exchanges; yield the task group for the requests."""
        async with anyio.create_task_group() as exchanges:
            for instance in self.instances:
                exchanges.start_soon(self._exchange, instance)
            async with anyio.create_task_group() as requests:
                yield requests
            exchanges.cancel_scope.cancel()

    async def _exchange(self, instance):
        interval_s = pace.exchange_interval_s(self.size)
        await anyio.sleep(self.rng.random() * interval_s)
        while True:
            is_lost = self.rng.random() < self.lost_reports
            if self.has_leader and not instance.is_cut_off and not is_lost:
                self._answer(instance)
            else:
                # Reports are made in vain.
                instance.shared.sections.make_report()
            await self._exchange_urgently(instance, interval_s)

    async def _exchange_urgently(self, instance, seconds):
        """Exchange urgent reports for some seconds, as Exchange does."""
        until = anyio.current_time() + seconds
        while (now := anyio.current_time()) < until:
            instance.rate.record(self.size, now)
            pause_s = instance.rate.pause_s(self.size, now)
            await anyio.sleep(min(pause_s, until - now))
            with anyio.move_on_after(until - anyio.current_time()):
                await instance.urgent.wait()
                await anyio.sleep(URGENT_EXCHANGE_S)
                instance.urgent = anyio.Event()
                self._answer_urgently(instance)

    def _answer_urgently(self, instance):
        if not self.has_leader or instance.is_cut_off:
            return
        now = anyio.current_time()
        own = instance.shared.sections
        report = own.make_urgent_report()
        self._sections.receive(instance.name, report, now)
        values = self._sections.make_urgent_update(instance.name, report, now)
        own.apply_urgent(values, now)

    def _answer(self, instance):
        now = anyio.current_time()
        states = instance.shared.servers.states
        own = {server_id: s.own_load for server_id, s in states.items()}
        self._loads[instance.name] = own
        report = instance.shared.sections.make_report()
        self._sections.receive(instance.name, report, now)
        values = self._sections.make_update(instance.name, now)
        for server_id, state in states.items():
            total = sum(loads[server_id] for loads in self._loads.values())
            state.others_load = total - own[server_id]
        instance.shared.sections.apply(values, now)
        instance.shared.wait_queues.wake()

    def make_job(self, kind, organisation, **changes):
        """Return a job as the Finder reads it."""
        priority, target_s, _ = CLASSES[kind]
        now = anyio.current_time()
        fields = {
            'req': types.SimpleNamespace(
                model=MODEL,
                adapter=None,
                tokens=900,
                attempt_id=str(next(_NUMBERS)),
            ),
            'route': builders.make_route(
                priority=priority, latency_target_s=target_s
            ),
            'service': SERVICE,
            'organisation': builders.make_organisation(name=organisation),
            'priority': priority,
            'is_plain': False,
            'demand_key': (SERVICE.name, MODEL),
            'software_version': None,
            'tried': [],
            'has_response_started': False,
            'prefix_hash': None,
            'fingerprint': str(next(_NUMBERS)),
            'received_at': now,
            'waited_s': 0.0,
            'limited_servers': 0,
            'send_count': 0,
            'class_chance': (float('-inf'), 0.0),
            'reservation': None,
            'memory_window': None,
            'memory_chances': {},
            'memory_exclusions': engine_memory.NO_EXCLUSIONS,
            'first_byte_due_at': now + self.deadlines_s[kind],
        }
        return _Job(**fields | changes)

    async def request(
        self, kind, index, organisation='club', tokens=None, **changes
    ):
        """Serve one request at an instance; return its Outcome."""
        instance = self.instances[index]
        now = anyio.current_time()
        outcome = Outcome(kind, organisation, now, index)
        self.outcomes.append(outcome)
        job = self.make_job(kind, organisation, **changes)
        if tokens is not None:
            job.req.tokens = tokens
        instance.shared.demand.record_arrival(*job.demand_key, 0.4)
        scheduler = instance.shared.scheduler
        if scheduler is not None:
            scheduler.record_arrival(job)
        try:
            state = await instance.finder.find(job)
        except kinds.ServingError as exc:
            outcome.rejected_s = anyio.current_time() - now
            outcome.retry_after_s = exc.retry_after_s
            return outcome
        outcome.waited_s = anyio.current_time() - now
        await self._run(job, instance, state, outcome)
        return outcome

    async def _run(self, job, instance, state, outcome):
        _, _, service_s = CLASSES[outcome.kind]
        started_at = anyio.current_time()
        scheduler = instance.shared.scheduler
        memory = instance.shared.engine_memory
        state.own_load += 1
        held_tokens = memory.record_start(job, state)
        if scheduler is not None:
            scheduler.record_start(job)
            instance.shared.class_shares.loads.record_start(
                state, job.priority
            )
        queued_s = await self.engines[state.server.id].run(
            job.priority, service_s, job.req.tokens
        )
        outcome.first_event_s = outcome.waited_s + queued_s
        state.own_load -= 1
        memory.record_end(job, state, held_tokens)
        elapsed_s = anyio.current_time() - started_at
        if scheduler is not None:
            scheduler.record_end(job, True)
            instance.shared.class_shares.loads.record_end(state, job.priority)
        instance.shared.servers.record_service_time(SERVICE.name, elapsed_s)
        instance.shared.wait_queues.wake(SERVICE.name)

    async def arrivals(
        self, requests, kind, per_s, seconds, among=None, organisation='club'
    ):
        """Start requests at random times and instances for some seconds."""
        among = among or range(self.size)
        until = anyio.current_time() + seconds
        while True:
            await anyio.sleep(self.rng.expovariate(per_s))
            if anyio.current_time() >= until:
                return
            index = self.rng.choice(among)
            requests.start_soon(self.request, kind, index, organisation)


class _Job(types.SimpleNamespace):
    @property
    def wait_left_s(self):
        return self.first_byte_due_at - anyio.current_time()
