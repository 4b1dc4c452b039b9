"""Simulated load of a service whose models outnumber the places on engines."""

import collections
import dataclasses
import itertools
import random

import anyio
from wagtailtide_gateway.control import demand as demand_counts
from wagtailtide_gateway.control import model_orders
from wagtailtide_gateway.decisions import server_limits
from wagtailtide_gateway.model import deployment

from tests import builders
from tests.control import leader_fixture

ENGINE_MEMORY_MB = 230_000.0
MODELS_PER_ENGINE = 3
SLOTS = 32
SERVICE_S = 0.7

# An engine's host keeps as many copies of models in memory and on disk.
MEMORY_COPIES = 2
DISK_COPIES = 6

PLAN_INTERVAL_S = 0.1
RECHECK_INTERVAL_S = 0.1

# Interval at which the instances of a large cluster report to the leader.
REPORT_INTERVAL_S = 1.0

LOAD_ORDER_DELAY_S = 1.0
MAX_WAIT_SHARE = 0.8
MAX_RETRY_SHARE = 1.0 / 3.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        target_s: Latency target in seconds.
        patience_s: Seconds after which callers leave without a first event.
        deadline_s: Seconds within which callers retry.
    """

    target_s: float
    patience_s: float
    deadline_s: float


CHAT = Kind(0.4, 2.4, 12.0)
BATCH = Kind(5.0, 20.0, 20.0)


@dataclasses.dataclass
class _Engine:
    models: set
    memory: list
    disk: list
    done_at: float = 0.0
    change: tuple | None = None


class SimulatedEngines:
    """Client of engines whose loads take time.

    Attributes:
        loads: Number of loads by source: memory, disk or store.
        peak_mb: Largest size of the models that an engine held or loaded.
    """

    def __init__(self, models):
        self._models = models
        self._engines = {}
        self.loads = collections.Counter()
        self.peak_mb = 0.0

    def add(self, server_id, held):
        """Add an engine that holds models."""
        held = list(held)
        self._engines[server_id] = _Engine(
            set(held), held[-MEMORY_COPIES:], held[-DISK_COPIES:]
        )

    def holds(self, server_id, model):
        """Return whether a model is resident."""
        self._finish_order(self._engines[server_id])
        return model in self._engines[server_id].models

    async def send_order(self, server_id, engine, load, model, adapter=None):
        """Start an order; return 202, or 409 while another is in progress."""
        state = self._engines[server_id]
        now = anyio.current_time()
        self._finish_order(state)
        if state.change is not None:
            return 409
        state.change = (load, model)
        state.done_at = now + (self._start_load(state, model) if load else 0.1)
        return 202

    async def refresh(self, server_id, engine):
        """Read the state of an engine."""
        state = self._engines[server_id]
        self._finish_order(state)
        if state.change is None:
            engine.residency = self.residency(server_id)
        return _Report(state.change is not None)

    def residency(self, server_id):
        """Return the Residency of an engine."""
        state = self._engines[server_id]
        return builders.make_residency(
            sorted(state.models),
            in_memory=frozenset(state.memory),
            on_disk=frozenset(state.disk),
        )

    def _start_load(self, state, name):
        model = self._models[name]
        held = [self._models[m].weights_mb for m in state.models]
        self.peak_mb = max(self.peak_mb, sum(held) + model.weights_mb)
        if name in state.memory:
            self.loads['memory'] += 1
            return model.memory_load_s
        if name in state.disk:
            self.loads['disk'] += 1
            return model.disk_load_s
        self.loads['store'] += 1
        return model.store_load_s

    def _finish_order(self, state):
        if state.change is None or anyio.current_time() < state.done_at:
            return
        (load, name), state.change = state.change, None
        if not load:
            state.models.discard(name)
            return
        state.models.add(name)
        for copies, limit in (
            (state.memory, MEMORY_COPIES),
            (state.disk, DISK_COPIES),
        ):
            if name in copies:
                copies.remove(name)
            copies.append(name)
            del copies[:-limit]


@dataclasses.dataclass(frozen=True)
class _Report:
    busy: bool


@dataclasses.dataclass
class ModelRecord:
    """What the callers of one model got.

    Attributes:
        asked_at: Times of the requests, retries not included.
        served: Number of requests served.
        on_time: Number of requests served within the latency target.
    """

    asked_at: list = dataclasses.field(default_factory=list)
    served: int = 0
    on_time: int = 0

    @property
    def is_asked_through(self):
        """Whether it was asked for four times or more over eight seconds."""
        return (
            len(self.asked_at) >= 4
            and self.asked_at[-1] - self.asked_at[0] >= 8.0
        )


class PlacementLoad:
    """A leader with engines, and the callers of their models.

    Attributes:
        records: ModelRecord of each model that was asked for.
        engines: The SimulatedEngines.
    """

    def __init__(self, engine_count, busy, rare, seed):
        self._random = random.Random(seed)
        names = [*busy, *rare]
        self._models = {
            n: builders.make_model(n, 72_700.0, store_load_s=6.4)
            for n in names
        }
        spec = deployment.Engine(SLOTS, ENGINE_MEMORY_MB, 8, 9.5, self._models)
        self.engines = SimulatedEngines(self._models)
        self.records = collections.defaultdict(ModelRecord)
        servers = []
        for i, held in enumerate(self._initial_models(engine_count, names)):
            self.engines.add(f'e{i}', held)
            residency = self.engines.residency(f'e{i}')
            servers.append(
                builders.make_server(f'e{i}', residency=residency, slots=SLOTS)
            )
        self._fixture = leader_fixture.LeaderFixture(*servers, engine=spec)
        self._fixture.add_listed_engines()
        self._orders = model_orders.ModelOrders(
            self._fixture.config,
            self._fixture.servers,
            self._fixture.fleet,
            self._fixture.cluster,
            self.engines,
            builders.make_settings(),
        )
        self._demand = demand_counts.DemandCounter()
        self._loads = collections.Counter()
        self._loading_s = {}
        self._limit_per_s = None
        self._permitted_at = {}

    async def limit_engines(self, server_ids, per_s, at_s):
        """Make engines state a limit from a time in seconds on.

        They get that many requests a second at most, evenly spaced, and only
        those that no other engine can run.
        """
        await anyio.sleep(at_s)
        self._limit_per_s = per_s
        now = anyio.current_time()
        for server_id in server_ids:
            self._permitted_at[server_id] = now
            state = self._fixture.servers.states[server_id]
            state.limit.update(server_limits.Statement(per_s, now))

    @staticmethod
    def _initial_models(engine_count, names):
        """Return the models of each engine: the first ones on three."""
        places = engine_count * MODELS_PER_ENGINE
        busiest = names[: engine_count // 3]
        copies = itertools.chain(busiest, busiest, names)
        flat = list(itertools.islice(copies, places))
        return [flat[i::engine_count] for i in range(engine_count)]

    async def run(self, traffic, seconds, limited=()):
        """Run traffic.

        Args:
            traffic: Function of the time in seconds that returns rows of Kind,
                models, weights of the models and requests a second.
            seconds: Length of the traffic.
            limited: Arguments of `limit_engines`, empty for no limits.
        """
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._report)
            if limited:
                tg.start_soon(self.limit_engines, *limited)
            tg.start_soon(self._plan, tg)
            started_at = anyio.current_time()
            async with anyio.create_task_group() as callers:
                while (
                    elapsed_s := anyio.current_time() - started_at
                ) < seconds:
                    for row in traffic(elapsed_s):
                        self._start_callers(callers, *row)
                    await anyio.sleep(PLAN_INTERVAL_S)
                callers.cancel_scope.deadline = anyio.current_time() + 5.0
            tg.cancel_scope.cancel()

    def _start_callers(self, tg, kind, models, weights, rate_per_s):
        count = int(rate_per_s * PLAN_INTERVAL_S + self._random.random())
        for name in self._random.choices(models, weights, k=count):
            tg.start_soon(self._call, kind, name)

    async def _report(self):
        while True:
            rows = self._demand.take_demand()
            report = builders.make_report(loads=dict(self._loads), demand=rows)
            update = self._fixture.cluster.handle_report(report)
            self._loading_s = dict(update.loading_s)
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _plan(self, tg):
        while True:
            await anyio.sleep(PLAN_INTERVAL_S)
            self._fixture.cluster.update_rates(PLAN_INTERVAL_S)
            self._orders.plan(tg, anyio.current_time())

    async def _call(self, kind, name):
        record = self.records[name]
        now = anyio.current_time()
        record.asked_at.append(now)
        deadline_at = now + kind.deadline_s
        retry_after_s = await self._attempt(kind, name, record, now)
        if retry_after_s is None:
            return
        left_s = deadline_at - anyio.current_time()
        await anyio.sleep(min(retry_after_s, left_s * MAX_RETRY_SHARE))
        await self._attempt(kind, name, record, now)

    async def _attempt(self, kind, name, record, asked_at):
        """Run one attempt; return the Retry-After value if it is refused."""
        key = (leader_fixture.SERVICE, name)
        self._demand.record_arrival(*key, kind.target_s)
        started_at, wait_s = anyio.current_time(), None
        while True:
            now = anyio.current_time()
            server_id = self._free_engine(name)
            if server_id is not None:
                break
            left_s = started_at + kind.patience_s - now
            ready_in_s = self._ready_in_s(name)
            if wait_s is None:
                wait_s = ready_in_s
            if ready_in_s > left_s * MAX_WAIT_SHARE or (
                now > started_at + 2.0 * wait_s + 1.0
            ):
                return ready_in_s
            self._demand.record_wait(*key)
            try:
                await anyio.sleep(RECHECK_INTERVAL_S)
            finally:
                self._demand.record_wait_end(*key)
        record.served += 1
        record.on_time += now - asked_at <= kind.target_s
        await self._serve(server_id, key)
        return None

    async def _serve(self, server_id, key):
        self._loads[server_id] += 1
        self._demand.record_start(*key)
        try:
            await anyio.sleep(SERVICE_S)
        finally:
            self._loads[server_id] -= 1
            self._demand.record_end(*key)

    def _free_engine(self, name):
        now = anyio.current_time()
        free = [
            (
                server_id in self._permitted_at,
                self._loads[server_id],
                server_id,
            )
            for server_id in self._fixture.fleet.engines
            if self.engines.holds(server_id, name)
            and name in self._fixture.published_models(server_id)
            and self._loads[server_id] < SLOTS
            and now >= self._permitted_at.get(server_id, now)
        ]
        if not free:
            return None
        *_, server_id = min(free)
        if server_id in self._permitted_at:
            self._permitted_at[server_id] = now + 1.0 / self._limit_per_s
        return server_id

    def _ready_in_s(self, name):
        engines = self._fixture.fleet.engines
        model = self._models[name]
        if any(self.engines.holds(server_id, name) for server_id in engines):
            return SERVICE_S
        loading_s = self._loading_s.get((leader_fixture.SERVICE, name))
        if loading_s is not None:
            return loading_s
        times = [model.store_load_s]
        for engine in engines.values():
            if name in engine.residency.in_memory:
                times.append(model.memory_load_s)
            elif name in engine.residency.on_disk:
                times.append(model.disk_load_s)
        return min(times) + LOAD_ORDER_DELAY_S
