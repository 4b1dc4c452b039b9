"""Placement: which models the engines of one service load and unload."""

import collections
from collections.abc import Mapping
import dataclasses
import math

# Target utilisation of an engine by one model. The engine's other models use
# the rest of its slots.
TARGET_COPY_UTILISATION = 0.4

# Utilisation of the engines that hold a model below which it gets no further
# copy, unless requests for it wait.
LOW_UTILISATION = 0.6

# A model is idle after IDLE_INTERVALS times the mean interval between its
# requests, but at least MIN_IDLE_S and at most MAX_IDLE_S. Idle models are
# unloaded for others.
MAX_IDLE_S = 4.0
MIN_IDLE_S = 1.0
IDLE_INTERVALS = 6.0

# Seconds for which an evicted model cannot serve, until it is loaded again.
EVICTION_OUTAGE_S = 2.5

# Seconds that an unload waits for the model's running requests. The engine
# takes no other order meanwhile.
UNLOAD_WAIT_S = 2.0

# The gain of a new copy must exceed the loss of the evicted copies by this
# factor. Otherwise two models with similar demand would evict each other in
# turn.
EVICTION_HYSTERESIS = 1.5

# The only copy of a model is worth this many times the model's busy slots,
# because without it all requests for the model wait or fail, plus a base for
# models with few requests. The same factor applies to requests that lack an
# adapter.
ONLY_COPY_FACTOR = 4.0
ONLY_COPY_BASE_SLOTS = 0.5

# Smallest loss, in slots, for evicting the only copy of a model whose requests
# cannot wait for a load or are not known yet. It holds for idle models too:
# demand moves between such models within seconds.
ONLY_COPY_MIN_LOSS_SLOTS = 6.0

# Gain, in slots, from each request that arrived while no engine had the model,
# and from each second since the first of them. Without it, a model with few
# requests would never replace another one, however long its callers ask.
UNSERVED_REQUEST_SLOTS = 1.0
UNSERVED_SLOTS_PER_S = 0.25

# Limit on that gain, so that such a model replaces an idle only copy but not
# a busy one.
MAX_UNSERVED_SLOTS = 6.0

# Loss, in slots, for evicting one of several copies of a model that has had no
# requests yet.
UNREQUESTED_COPY_LOSS_SLOTS = 1.0

# Requests with a latency target of at least this can wait until memory is
# freed and a model is loaded from disk.
DEFERRABLE_TARGET_S = 2.5

# A model below this demand may be loaded from the weight store only while more
# than MIN_FREE_ENGINE_SHARE of the engines accept orders.
LOW_DEMAND_SLOTS = 1.5

# A model with at least this demand does not wait for an engine that has a copy
# on disk.
HIGH_DEMAND_SLOTS = 4.0
MIN_FREE_ENGINE_SHARE = 0.5

# Largest share of the engines that may load from the weight store at one time
# for deferrable requests. A load blocks other orders of its engine for
# seconds, longer than urgent requests can wait.
MAX_DEFERRABLE_LOAD_SHARE = 0.34

# The same share for models that have been unserved for longer than a load from
# the weight store takes.
MAX_OVERDUE_LOAD_SHARE = 0.5

# Seconds for which a loaded model is not evicted, so that it serves the
# requests that waited for it.
MIN_RESIDENCY_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """An engine that accepts orders.

    Attributes:
        id: Identifier of the engine's backend server.
        free_mb: Accelerator memory in MB not used by weights or adapters.
        models: Names of the resident models.
        in_memory: Models with a copy in the host's memory.
        on_disk: Models with a copy on the host's disk.
        load: Number of requests in the engine.
        loaded_at: Time in seconds at which each model was loaded, where known.
        spare_per_s: Requests a second that it can take for further models.
        surplus: Resident models whose requests its limit does not cover. They
            do not count as copies, and evicting them loses nothing.
    """

    id: str
    free_mb: float
    models: frozenset[str]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    load: float
    loaded_at: Mapping[str, float]
    spare_per_s: float = math.inf
    surplus: frozenset[str] = frozenset()

    @property
    def cached(self):
        """Models that it can load without the weight store."""
        return self.in_memory | self.on_disk


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a model.

    Attributes:
        model: Name of the model.
        busy_slots: Slots that requests for the model use or wait for.
        running: Requests that run on engines.
        waiting: Requests that wait because no copy can run them.
        idle: Whether requests for the model seem to have stopped.
        deferrable: Whether the latency targets of the requests leave time to
            load the model from disk.
        unserved: Requests that arrived while no engine had the model.
        unserved_s: Seconds since the first of them, 0 if there is none.
        adapter_misses_per_s: Requests a second that lack an adapter.
        rate_per_s: Requests a second.
    """

    model: str
    busy_slots: float
    running: int
    waiting: int
    idle: bool
    deferrable: bool
    unserved: int
    unserved_s: float
    adapter_misses_per_s: float
    rate_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A load of a model, after unloading the victims to free memory."""

    engine: str
    model: str
    victims: tuple[str, ...]
    from_store: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Input of a plan: the engines of one service and their demand.

    Attributes:
        engines: Engines that accept orders and have none in progress.
        engine_count: Number of engines, including those with orders in
            progress.
        copies: Number of copies of each model, including those being loaded.
        serving_copies: Number of copies of each model that can run requests.
        utilisation: Load of the engines that hold each model, as a share of
            their slots.
        demand: Demand by model name.
        slots: Slots of one engine.
        store_loads_left: Number of loads that the weight store allows now.
        deferrable_loads: Number of loads in progress from the weight store for
            deferrable requests.
        cached: Models of which some engine has a copy, resident or on its
            host.
        since_first_request_s: Seconds since the first request for any model, 0
            if there was none.
        now: Time in seconds.
    """

    engines: tuple[EngineView, ...]
    engine_count: int
    copies: Mapping[str, int]
    serving_copies: Mapping[str, int]
    utilisation: Mapping[str, float]
    demand: Mapping[str, Demand]
    slots: int
    store_loads_left: int
    deferrable_loads: int
    cached: frozenset[str]
    since_first_request_s: float
    now: float


def _is_idle(snapshot, name):
    demand = snapshot.demand.get(name)
    return demand is None or (demand.idle and not demand.waiting)


def _is_running(snapshot, name):
    demand = snapshot.demand.get(name)
    return demand is not None and demand.running > 0


def target_copies(snapshot, name):
    """Return how many engines should hold a model.

    While the engines with the model have free slots, the number of copies does
    not grow: a load would block an engine for seconds and speed up no request.
    """
    if _is_idle(snapshot, name):
        return 0
    demand = snapshot.demand[name]
    copies = math.ceil(
        demand.busy_slots / (snapshot.slots * TARGET_COPY_UTILISATION)
    )
    copies = max(1, min(copies, snapshot.engine_count))
    current = snapshot.copies.get(name, 0)
    has_capacity = snapshot.utilisation.get(name, math.inf) < LOW_UTILISATION
    if current and has_capacity and not demand.waiting:
        return min(copies, current)
    return copies


def within_limit(models, demand, limit_per_s):
    """Return the models that an engine with a limit can serve.

    These are the least requested ones whose requests it takes all together.
    The others need copies elsewhere.

    Args:
        models: Names of the engine's models.
        demand: Demand by model name.
        limit_per_s: Requests a second that it takes, None without a limit.
    """
    if limit_per_s is None:
        return models
    rates = {n: demand[n].rate_per_s if n in demand else 0.0 for n in models}
    served, total_per_s = set(), 0.0
    for name in sorted(models, key=lambda n: (rates[n], n)):
        total_per_s += rates[name]
        if total_per_s > limit_per_s:
            break
        served.add(name)
    return served


def with_limit(engine, demand, limit_per_s):
    """Return the EngineView of an engine with a limit.

    Args:
        engine: The EngineView.
        demand: Demand by model name.
        limit_per_s: Requests a second that it takes, None without a limit.
    """
    if limit_per_s is None:
        return engine
    served = within_limit(engine.models, demand, limit_per_s)
    used_per_s = sum(demand[n].rate_per_s for n in served if n in demand)
    return dataclasses.replace(
        engine,
        spare_per_s=limit_per_s - used_per_s,
        surplus=engine.models - served,
    )


def load_time_s(model, engine):
    """Return the seconds that a model takes to load on an engine."""
    if model.name in engine.in_memory:
        return model.memory_load_s
    if model.name in engine.on_disk:
        return model.disk_load_s
    return model.store_load_s


def needs_weight_store(model, engine):
    """Return whether a load has to read the weights from the weight store."""
    return model.name not in engine.cached


def copy_loss(snapshot, model):
    """Return the loss, in slots, from evicting one copy of a model."""
    demand = snapshot.demand.get(model)
    copies = max(snapshot.serving_copies.get(model, 0), 1)
    if copies > 1:
        return (
            demand.busy_slots / copies
            if demand
            else UNREQUESTED_COPY_LOSS_SLOTS
        )
    if demand is None:
        return ONLY_COPY_MIN_LOSS_SLOTS
    min_loss = 0.0 if demand.deferrable else ONLY_COPY_MIN_LOSS_SLOTS
    if demand.idle and not demand.waiting:
        return min_loss
    return max(
        min_loss, ONLY_COPY_FACTOR * demand.busy_slots + ONLY_COPY_BASE_SLOTS
    )


def _eviction_loss(snapshot, engine, model):
    if model in engine.surplus and snapshot.serving_copies.get(model, 0):
        return 0.0
    return copy_loss(snapshot, model)


def copy_gain(snapshot, model):
    """Return the gain, in slots, from one more copy of a model."""
    demand = snapshot.demand[model]
    copies = snapshot.copies.get(model, 0)
    if copies == 0:
        return (
            ONLY_COPY_FACTOR * demand.busy_slots
            + ONLY_COPY_BASE_SLOTS
            + _unserved_gain(demand)
        )
    return demand.busy_slots / (copies + 1)


def _unserved_gain(demand):
    """Return the gain, in slots, from requests that found no copy so far."""
    gain = (
        UNSERVED_REQUEST_SLOTS * demand.unserved
        + UNSERVED_SLOTS_PER_S * demand.unserved_s
    )
    return min(gain, MAX_UNSERVED_SLOTS)


def plan(snapshot, models):
    """Return the next load steps, at most one for each engine.

    Args:
        snapshot: The Snapshot of the service.
        models: Model by name.
    """
    steps, loads_left = [], snapshot.store_loads_left
    deferrable_loads = snapshot.deferrable_loads
    available = {engine.id: engine for engine in snapshot.engines}
    if snapshot.since_first_request_s <= 0:
        return _preload(snapshot, models, available)
    # Each step changes the counts for the next one, so that one plan does not
    # evict all copies of a model.
    copies = collections.Counter(snapshot.copies)
    serving = collections.Counter(snapshot.serving_copies)
    snapshot = dataclasses.replace(
        snapshot, copies=copies, serving_copies=serving
    )
    for name in underprovisioned_models(snapshot):
        if name not in models:
            continue
        may_use_weight_store = loads_left > 0 and _may_load_from_store(
            snapshot, models[name], available, deferrable_loads
        )
        found = _find_cheapest_engine(
            snapshot, models, models[name], available, may_use_weight_store
        )
        if found is None:
            continue
        engine, victims = found
        del available[engine.id]
        from_store = needs_weight_store(models[name], engine)
        loads_left -= from_store
        deferrable_loads += from_store and snapshot.demand[name].deferrable
        copies[name] += 1
        counted = [v for v in victims if v not in engine.surplus]
        copies.subtract(counted)
        serving.subtract(counted)
        steps.append(Step(engine.id, name, tuple(victims), from_store))
    return steps


def _may_load_from_store(snapshot, model, available, deferrable_loads):
    """Return whether a model may be loaded from the weight store.

    Such a load blocks its engine for seconds. A model with low demand waits
    for the engine that has a copy on disk, which leaves engines free for
    models whose demand rises quickly. It does not wait longer than the load
    from the weight store takes.
    """
    name = model.name
    demand = snapshot.demand[name]
    is_overdue = demand.unserved_s >= model.store_load_s
    if demand.deferrable:
        share = (
            MAX_OVERDUE_LOAD_SHARE if is_overdue else MAX_DEFERRABLE_LOAD_SHARE
        )
        max_loads = max(1, snapshot.engine_count * share)
        if deferrable_loads + 1 > max_loads:
            return False
    if is_overdue:
        return True
    if name in snapshot.cached and not snapshot.copies.get(name):
        return demand.busy_slots >= HIGH_DEMAND_SLOTS
    if demand.busy_slots >= LOW_DEMAND_SLOTS:
        return True
    return len(available) > snapshot.engine_count * MIN_FREE_ENGINE_SHARE


def _preload(snapshot, models, available):
    """Load models that no engine has into unused memory.

    This is done only before the first request. A load blocks its engine for
    seconds, in which requests may need another model there.
    """
    steps, loads_left = [], snapshot.store_loads_left
    uncached = [m for m in models.values() if m.name not in snapshot.cached]
    uncached.sort(key=lambda model: (-model.weights_mb, model.name))
    for engine in available.values():
        if loads_left <= 0:
            break
        model = next(
            (m for m in uncached if m.weights_mb <= engine.free_mb), None
        )
        if model is not None:
            uncached.remove(model)
            loads_left -= 1
            steps.append(Step(engine.id, model.name, (), True))
    return steps


def underprovisioned_models(snapshot):
    """Return the models with too few copies, the largest gain first."""
    rows = []
    for name, demand in snapshot.demand.items():
        if snapshot.copies.get(name, 0) < target_copies(snapshot, name):
            gain = copy_gain(snapshot, name)
            rows.append((-gain, -demand.unserved_s, name))
    return [row[-1] for row in sorted(rows)]


def is_idle(idle_s, rate_per_s):
    """Return whether requests for a model seem to have stopped.

    Args:
        idle_s: Seconds since the last request.
        rate_per_s: Requests a second before that.
    """
    limit_s = IDLE_INTERVALS / rate_per_s if rate_per_s > 0 else MAX_IDLE_S
    return idle_s > min(max(limit_s, MIN_IDLE_S), MAX_IDLE_S)


def _find_cheapest_engine(
    snapshot, models, model, available, may_use_weight_store
):
    best = None
    for engine in available.values():
        if model.name in engine.models:
            continue
        if snapshot.demand[model.name].rate_per_s > engine.spare_per_s:
            continue
        if needs_weight_store(model, engine) and not may_use_weight_store:
            continue
        victims = _select_victims(snapshot, models, model, engine)
        if victims is None:
            continue
        loss = sum(_eviction_loss(snapshot, engine, name) for name in victims)
        delayed_slots = max(1.0, snapshot.demand[model.name].busy_slots)
        delayed_slots += ONLY_COPY_FACTOR * _adapter_misses_per_s(
            snapshot, engine, victims
        )
        delay_s = load_time_s(model, engine)
        if any(_is_running(snapshot, name) for name in victims):
            delay_s += UNLOAD_WAIT_S
        cost = EVICTION_OUTAGE_S * loss + delayed_slots * delay_s
        cost += engine.load / snapshot.slots
        if best is None or cost < best[0]:
            best = (cost, engine, victims)
    return None if best is None else best[1:]


def _adapter_misses_per_s(snapshot, engine, victims):
    """Return the rate of requests that need an adapter from an engine.

    An engine loads no adapters while it loads a model, so these requests are
    refused unless another engine has their model.
    """
    return sum(
        snapshot.demand[name].adapter_misses_per_s
        / max(1, snapshot.serving_copies.get(name, 0))
        for name in engine.models
        if name in snapshot.demand and name not in victims
    )


def _select_victims(snapshot, models, model, engine):
    """Return the models to evict, or None if the gain is too small."""
    gain = copy_gain(snapshot, model.name)
    needed_mb = model.weights_mb - engine.free_mb
    victims, loss = [], 0.0
    ranked = sorted(
        engine.models,
        key=lambda n: (
            _eviction_loss(snapshot, engine, n),
            not _is_idle(snapshot, n),
            n,
        ),
    )
    for name in ranked:
        if needed_mb <= 0:
            break
        loaded_at = engine.loaded_at.get(name, -math.inf)
        if snapshot.now - loaded_at < MIN_RESIDENCY_S or name not in models:
            continue
        loss += _eviction_loss(snapshot, engine, name)
        needed_mb -= models[name].weights_mb
        victims.append(name)
    if needed_mb > 0 or (victims and loss * EVICTION_HYSTERESIS >= gain):
        return None
    return victims
