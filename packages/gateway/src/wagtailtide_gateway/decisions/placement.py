"""Which models engines should load and unload, for one service."""

import collections
from collections.abc import Mapping
import dataclasses
import math

# Share of an engine's slots that one model's copies should take. Engines
# hold several models that share their slots.
COPY_FILL = 0.4

# A model without a request for this long gives way to others.
IDLE_S = 4.0

# Gain of a copy must exceed the loss of what it displaces by this factor, so
# that two models of like demand do not displace each other in turn.
HYSTERESIS = 1.5

# Value of a first copy: a model without one serves nothing at all.
FIRST_COPY_GAIN = 6.0

# Value of a copy for which no request has come in the first seconds.
UNSEEN_VALUE = 2.0

# Loads of the weight store that are kept for models that are asked for.
STORE_RESERVE = 4

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


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a model.

    Attributes:
        model: Its name.
        busy_slots: Slots that its requests take or wait for.
        waiting: Requests that wait because no copy can run them.
        idle_s: Seconds since its last request.
    """

    model: str
    busy_slots: float
    waiting: int
    idle_s: float


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
        demand: Demand by model.
        slots: Slots of an engine.
        store_loads_left: Loads that the weight store allows now.
        observed_s: Seconds since the first request for any model.
        now: Time in seconds.
    """

    engines: tuple[EngineView, ...]
    engine_count: int
    copies: Mapping[str, int]
    demand: Mapping[str, Demand]
    slots: int
    store_loads_left: int
    observed_s: float
    now: float


def wanted_copies(demand, slots, engine_count):
    """Return how many engines should hold a model."""
    if demand is None or (demand.idle_s > IDLE_S and not demand.waiting):
        return 0
    copies = math.ceil(demand.busy_slots / (slots * COPY_FILL))
    return max(1, min(copies, engine_count))


def load_time_s(model, engine):
    """Return the time that a load takes on an engine."""
    if model.name in engine.in_memory:
        return model.memory_load_s
    if model.name in engine.on_disk:
        return model.disk_load_s
    return model.store_load_s


def is_from_store(model, engine):
    """Return whether a load takes the weights from the weight store."""
    return model.name not in engine.in_memory | engine.on_disk


def copy_value(situation, model):
    """Return what one more or one less copy of a model is worth."""
    demand = situation.demand.get(model)
    copies = max(situation.copies.get(model, 0), 1)
    if demand is None or (demand.idle_s > IDLE_S and not demand.waiting):
        if situation.observed_s >= IDLE_S:
            return 0.0
        # Before demand has shown itself, what was placed counts as wanted.
        return UNSEEN_VALUE + (FIRST_COPY_GAIN if copies == 1 else 0.0)
    value = demand.busy_slots / copies
    return value + (FIRST_COPY_GAIN if copies == 1 else 0.0)


def plan(situation, models):
    """Return the next orders, at most one for each engine.

    Args:
        situation: The Situation.
        models: Model by name.
    """
    steps, left = [], situation.store_loads_left
    free = {engine.id: engine for engine in situation.engines}
    wanting = lacking(situation)
    # Each step counts at once, so that one plan does not displace all copies
    # of a model.
    copies = collections.Counter(situation.copies)
    situation = dataclasses.replace(situation, copies=copies)
    for name in wanting:
        if name not in models:
            continue
        found = _cheapest(situation, models, models[name], free, left > 0)
        if found is None:
            continue
        engine, victims = found
        del free[engine.id]
        from_store = is_from_store(models[name], engine)
        left -= from_store
        copies[name] += 1
        copies.subtract(victims)
        steps.append(Step(engine.id, name, tuple(victims), from_store))
    if wanting or situation.observed_s > 0:
        return steps
    return _fill_steps(situation, models, free.values(), left)


def _fill_steps(situation, models, engines, left):
    """Load models that no engine holds into memory that nobody uses.

    Only before the first request: a load keeps its engine from other orders
    for seconds, in which demand may ask for one.
    """
    steps = []
    absent = [m for m in models.values() if not situation.copies.get(m.name)]
    absent.sort(key=lambda model: (-model.weights_mb, model.name))
    for engine in engines:
        if left <= STORE_RESERVE:
            break
        model = next(
            (m for m in absent if m.weights_mb <= engine.free_mb), None
        )
        if model is not None:
            absent.remove(model)
            from_store = is_from_store(model, engine)
            left -= from_store
            steps.append(Step(engine.id, model.name, (), from_store))
    return steps


def lacking(situation):
    """Return the models that lack copies, the most urgent first."""
    count = max(situation.engine_count, 1)
    rows = []
    for name, demand in situation.demand.items():
        copies = situation.copies.get(name, 0)
        if copies < wanted_copies(demand, situation.slots, count):
            gain = demand.busy_slots / (copies + 1)
            rows.append((copies > 0, -demand.waiting, -gain, name))
    return [name for *_, name in sorted(rows)]


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
        cost = loss + load_time_s(model, engine)
        cost += engine.load / situation.slots
        if best is None or cost < best[0]:
            best = (cost, engine, victims)
    return None if best is None else best[1:]


def _victims(situation, models, model, engine):
    """Return the models to unload, or None if they are worth more."""
    demand = situation.demand[model.name]
    copies = situation.copies.get(model.name, 0)
    gain = demand.busy_slots / (copies + 1)
    if copies == 0:
        gain += FIRST_COPY_GAIN
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
