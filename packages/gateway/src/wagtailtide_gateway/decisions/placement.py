"""Which models engines should load and unload, for one service."""

import collections
from collections.abc import Mapping
import dataclasses
import math

# Share of an engine's slots that one model's copies should take. Engines
# hold several models that share their slots.
COPY_FILL = 0.4

# Load of the engines that hold a model, as a share of their slots, below which
# it needs no further copy while nothing waits for it.
ROOMY_FILL = 0.6

# A model without a request for this long gives way to others, one that had
# many requests sooner: after this many times their usual distance.
IDLE_S = 4.0
MIN_IDLE_S = 1.0
IDLE_GAPS = 6.0

# Seconds for which a victim's requests are lost, until it is loaded again.
VICTIM_S = 2.5

# Gain of a copy must exceed the loss of what it displaces by this factor, so
# that two models of like demand do not displace each other in turn.
HYSTERESIS = 1.5

# Value of an only copy, in slots: as many times its model's busy slots, since
# without it all of its requests wait or are lost, and a little for a model
# whose requests are rare.
ONLY_COPY_FACTOR = 4.0
ONLY_COPY_GAIN = 0.5

# Value of the only copy of a model whose requests cannot wait for a load, or
# whose requests are not known, also while nobody asks for it: demand moves
# among such models within seconds.
KEPT_COPY_VALUE = 6.0

# Value of a further copy of a model that nobody has asked for yet.
UNSEEN_VALUE = 1.0

# Targets of this many seconds leave time to make room and load from disk.
SWAP_S = 2.5

# Models below this demand are rare. They may occupy engines for loads from
# the weight store only while this share of the engines is free.
RARE_SLOTS = 1.5

# Demand from which a model does not wait for the engine with a copy on disk.
PRESSED_SLOTS = 4.0
KEPT_FREE = 0.5

# Share of the engines that may at one time fetch models from the weight store
# for requests that can wait. Each of these loads keeps its engine from other
# orders for seconds, and urgent requests cannot wait that long.
PATIENT_LOADS_SHARE = 0.34

# Seconds for which a loaded model stays, so that it serves what waited.
MIN_STAY_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """An engine that takes orders.

    Attributes:
        id: Its id.
        free_mb: Memory that neither weights nor adapters take.
        models: Resident models.
        in_memory: Models with a copy in the host's memory.
        on_disk: Models with a copy on the host's disk.
        load: Requests in it.
        loaded_at: Time at which each model was loaded, where known.
    """

    id: str
    free_mb: float
    models: frozenset[str]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    load: float
    loaded_at: Mapping[str, float]

    @property
    def cached(self):
        """Models that it can load without the weight store."""
        return self.in_memory | self.on_disk


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a model.

    Attributes:
        model: Its name.
        busy_slots: Slots that its requests take or wait for.
        waiting: Requests that wait because no copy can run them.
        idle: Whether requests for it seem to have ceased.
        patient: Whether the targets of its requests leave time for a load
            from disk.
    """

    model: str
    busy_slots: float
    waiting: int
    idle: bool
    patient: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A load, after the models that have to make room are unloaded."""

    engine: str
    model: str
    victims: tuple[str, ...]
    from_store: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a plan is made from.

    Attributes:
        engines: Engines that take orders and have none in progress.
        engine_count: Number of engines, those with orders included.
        copies: Number of copies of each model, those on their way included.
        fills: Load of the engines that hold each model, as a share of their
            slots.
        demand: Demand by model.
        slots: Slots of an engine.
        store_loads_left: Loads that the weight store allows now.
        patient_loads: Loads from the weight store in progress, of models
            whose requests can wait.
        cached: Models of which some engine has a copy, on disk or resident.
        observed_s: Seconds since the first request for any model.
        now: Time in seconds.
    """

    engines: tuple[EngineView, ...]
    engine_count: int
    copies: Mapping[str, int]
    fills: Mapping[str, float]
    demand: Mapping[str, Demand]
    slots: int
    store_loads_left: int
    patient_loads: int
    cached: frozenset[str]
    observed_s: float
    now: float


def wanted_copies(situation, name):
    """Return how many engines should hold a model.

    Answers the load of a model whose engines have room: a further copy keeps
    an engine busy for seconds and serves nobody sooner.
    """
    demand = situation.demand.get(name)
    if demand is None or (demand.idle and not demand.waiting):
        return 0
    copies = math.ceil(demand.busy_slots / (situation.slots * COPY_FILL))
    copies = max(1, min(copies, situation.engine_count))
    present = situation.copies.get(name, 0)
    has_room = situation.fills.get(name, math.inf) < ROOMY_FILL
    if present and has_room and not demand.waiting:
        return min(copies, present)
    return copies


def load_time_s(model, engine):
    """Return the time that a load takes on an engine."""
    if model.name in engine.in_memory:
        return model.memory_load_s
    if model.name in engine.on_disk:
        return model.disk_load_s
    return model.store_load_s


def is_from_store(model, engine):
    """Return whether a load takes the weights from the weight store."""
    return model.name not in engine.cached


def copy_value(situation, model):
    """Return what a model would lose with one of its copies, in slots."""
    demand = situation.demand.get(model)
    copies = max(situation.copies.get(model, 0), 1)
    if copies > 1:
        return demand.busy_slots / copies if demand else UNSEEN_VALUE
    if demand is None:
        return KEPT_COPY_VALUE
    kept = 0.0 if demand.patient else KEPT_COPY_VALUE
    if demand.idle and not demand.waiting:
        return kept
    return max(kept, ONLY_COPY_FACTOR * demand.busy_slots + ONLY_COPY_GAIN)


def copy_gain(situation, model):
    """Return what a model would gain by one more copy, in slots."""
    demand = situation.demand[model]
    copies = situation.copies.get(model, 0)
    if copies == 0:
        return ONLY_COPY_FACTOR * demand.busy_slots + ONLY_COPY_GAIN
    return demand.busy_slots / (copies + 1)


def plan(situation, models):
    """Return the next orders, at most one for each engine.

    Args:
        situation: The Situation.
        models: Model by name.
    """
    steps, left = [], situation.store_loads_left
    patient_loads = situation.patient_loads
    free = {engine.id: engine for engine in situation.engines}
    if situation.observed_s <= 0:
        return _fill(situation, models, free)
    # Each step counts at once, so that one plan does not displace all copies
    # of a model.
    copies = collections.Counter(situation.copies)
    situation = dataclasses.replace(situation, copies=copies)
    for name in lacking(situation):
        if name not in models:
            continue
        may_use_store = left > 0 and _may_occupy(
            situation, name, free, patient_loads
        )
        found = _cheapest(situation, models, models[name], free, may_use_store)
        if found is None:
            continue
        engine, victims = found
        del free[engine.id]
        from_store = is_from_store(models[name], engine)
        left -= from_store
        patient_loads += from_store and situation.demand[name].patient
        copies[name] += 1
        copies.subtract(victims)
        steps.append(Step(engine.id, name, tuple(victims), from_store))
    return steps


def _may_occupy(situation, name, free, patient_loads):
    """Return whether a load from the weight store may keep an engine.

    It does so for seconds. Rare models wait for the engine that has a copy
    on disk, and leave some engines for models that rise quickly.
    """
    demand = situation.demand[name]
    if demand.patient:
        most = max(1, situation.engine_count * PATIENT_LOADS_SHARE)
        if patient_loads + 1 > most:
            return False
    if name in situation.cached and not situation.copies.get(name):
        return demand.busy_slots >= PRESSED_SLOTS
    if demand.busy_slots >= RARE_SLOTS:
        return True
    return len(free) > situation.engine_count * KEPT_FREE


def _fill(situation, models, free):
    """Load models that no engine has into memory that nobody uses.

    Only before the first request: a load keeps its engine from other orders
    for seconds, in which demand may ask for one.
    """
    steps, left = [], situation.store_loads_left
    absent = [m for m in models.values() if m.name not in situation.cached]
    absent.sort(key=lambda model: (-model.weights_mb, model.name))
    for engine in free.values():
        if left <= 0:
            break
        model = next(
            (m for m in absent if m.weights_mb <= engine.free_mb), None
        )
        if model is not None:
            absent.remove(model)
            left -= 1
            steps.append(Step(engine.id, model.name, (), True))
    return steps


def lacking(situation):
    """Return the models that lack copies, the most urgent first."""
    rows = []
    for name in situation.demand:
        if situation.copies.get(name, 0) < wanted_copies(situation, name):
            rows.append((-copy_gain(situation, name), name))
    return [name for _, name in sorted(rows)]


def is_idle(idle_s, rate_per_s):
    """Return whether requests for a model seem to have ceased.

    Args:
        idle_s: Seconds since the last one.
        rate_per_s: Rate of requests up to then.
    """
    limit_s = IDLE_GAPS / rate_per_s if rate_per_s > 0 else IDLE_S
    return idle_s > min(max(limit_s, MIN_IDLE_S), IDLE_S)


def _cheapest(situation, models, model, free, may_use_store):
    best = None
    for engine in free.values():
        if model.name in engine.models:
            continue
        if is_from_store(model, engine) and not may_use_store:
            continue
        victims = _victims(situation, models, model, engine)
        if victims is None:
            continue
        loss = sum(copy_value(situation, name) for name in victims)
        waits = max(1.0, situation.demand[model.name].busy_slots)
        cost = VICTIM_S * loss + waits * load_time_s(model, engine)
        cost += engine.load / situation.slots
        if best is None or cost < best[0]:
            best = (cost, engine, victims)
    return None if best is None else best[1:]


def _victims(situation, models, model, engine):
    """Return the models to unload, or None if they are worth more."""
    gain = copy_gain(situation, model.name)
    missing_mb = model.weights_mb - engine.free_mb
    victims, loss = [], 0.0
    ranked = sorted(engine.models, key=lambda n: copy_value(situation, n))
    for name in ranked:
        if missing_mb <= 0:
            break
        loaded_at = engine.loaded_at.get(name, -math.inf)
        if situation.now - loaded_at < MIN_STAY_S or name not in models:
            continue
        loss += copy_value(situation, name)
        missing_mb -= models[name].weights_mb
        victims.append(name)
    if missing_mb > 0 or (victims and loss * HYSTERESIS >= gain):
        return None
    return victims
