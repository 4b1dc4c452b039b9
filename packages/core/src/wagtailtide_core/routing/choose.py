"""Choice of a backend server by the power of two choices."""

import dataclasses
import enum

from wagtailtide_core.retries import breaker

# One-way delays between zones of a region are about 0.5 ms, far below the
# time of a request, so the preference for the own zone is mild.
SAME_ZONE_WEIGHT = 1.0
SAME_REGION_WEIGHT = 0.7
OTHER_REGION_WEIGHT = 0.05

# Added work, as a share of the server's slots, for a fetch of the adapter.
ADAPTER_MISS_WORK = 0.15

# Work saved, as a share of the server's slots, by a likely cached prefix.
PREFIX_HIT_WORK = 0.1


class Reason(enum.StrEnum):
    """Why a server was not a candidate."""

    DRAINING = 'draining'
    LEAVING = 'leaving'
    BREAKER_OPEN = 'breaker_open'
    TRIED_BEFORE = 'tried_before'
    OTHER_SUSPECT_RUNNING = 'other_suspect_running'
    MODEL_NOT_READY = 'model_not_ready'
    ADAPTER_NOT_READY = 'adapter_not_ready'
    WRONG_GROUP = 'wrong_group'


@dataclasses.dataclass(frozen=True)
class Exclusion:
    """A server that was not a candidate, and why."""

    server: str
    reason: Reason


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """What a choice depends on.

    Attributes:
        model: ``(name, version)``, or None for a plain service.
        adapter: ``(model, adapter)`` or None.
        group: Group of plain servers, or None for a model.
        zone: Zone of the instance.
        near_zones: Zones of the same region.
        occupied: Servers that run a suspect request, if this one is suspect.
        exclude: Servers that were tried before.
        prefix_servers: Servers that probably hold the prompt's prefix.
    """

    model: tuple[str, str] | None = None
    adapter: tuple[str, str] | None = None
    group: str | None = None
    zone: str = ''
    near_zones: frozenset[str] = frozenset()
    occupied: frozenset[str] = frozenset()
    exclude: frozenset[str] = frozenset()
    prefix_servers: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen server.

    Attributes:
        server: Its name.
        work: Estimated work as a share of its slots.
        compared_with: Name of the other sampled server, or None.
        excluded: Servers that were not candidates.
    """

    server: str
    work: float
    compared_with: str | None
    excluded: tuple[Exclusion, ...]


@dataclasses.dataclass(frozen=True)
class NoServer:
    """No server can take the request.

    Attributes:
        excluded: Every server considered, with the reason.
    """

    excluded: tuple[Exclusion, ...]


def exclusion_reason(req, state, now):
    """Return why a server cannot take a request, or None if it can.

    Args:
        req: The request.
        state: What is known of the server.
        now: Monotonic time in seconds.
    """
    if state.draining:
        return Reason.DRAINING
    if state.leaving:
        return Reason.LEAVING
    if state.breaker.state(now) is breaker.BreakerState.OPEN:
        return Reason.BREAKER_OPEN
    if (
        req.adapter is not None
        and state.needs_adapter_orders
        and req.adapter not in state.adapters
    ):
        return Reason.ADAPTER_NOT_READY
    if state.declared.name in req.exclude:
        return Reason.TRIED_BEFORE
    if state.declared.name in req.occupied:
        return Reason.OTHER_SUSPECT_RUNNING
    return None


def estimate_work(req, state, now):
    """Return the work that a request would find, as a share of the slots."""
    work = state.estimate.requests(now) / state.declared.slots
    if req.adapter is not None and req.adapter not in state.adapters:
        work += ADAPTER_MISS_WORK
    if state.declared.name in req.prefix_servers:
        work -= PREFIX_HIT_WORK
    return work


def _weight(req, state):
    zone = state.declared.zone
    if zone == req.zone:
        distance = SAME_ZONE_WEIGHT
    elif zone in req.near_zones:
        distance = SAME_REGION_WEIGHT
    else:
        distance = OTHER_REGION_WEIGHT
    return distance * state.declared.slots


def choose_server(req, servers, now, rng):
    """Choose a backend server for a request.

    Two candidates are drawn at random, weighted by zone and capacity, and the
    one with less estimated work is chosen. Random sampling keeps instances
    with the same outdated view from all choosing the same server.

    Args:
        req: The request.
        servers: The ServerTable.
        now: Monotonic time in seconds.
        rng: Source of random numbers, a random.Random.

    Returns:
        A Choice, or NoServer with the reason for each server.
    """
    if req.model is not None:
        possible = servers.with_model(req.model)
    else:
        possible = servers.in_group(req.group)
    # Sets have no stable order between processes; a fixed order makes a
    # choice reproducible from the seed.
    possible.sort(key=lambda state: state.declared.name)
    candidates, excluded = [], []
    for state in possible:
        reason = exclusion_reason(req, state, now)
        if reason is None:
            candidates.append(state)
        else:
            excluded.append(Exclusion(state.declared.name, reason))
    if not candidates:
        return NoServer(tuple(excluded))
    sampled = _sample_two(req, candidates, rng)
    works = [(estimate_work(req, state, now), state) for state in sampled]
    work, best = min(works, key=lambda pair: pair[0])
    other = next((s.declared.name for s in sampled if s is not best), None)
    return Choice(best.declared.name, work, other, tuple(excluded))


def _sample_two(req, candidates, rng):
    weights = [_weight(req, state) for state in candidates]
    first = rng.choices(range(len(candidates)), weights)[0]
    if len(candidates) == 1:
        return [candidates[0]]
    weights[first] = 0.0
    second = rng.choices(range(len(candidates)), weights)[0]
    return [candidates[first], candidates[second]]


def explain(req, servers, now):
    """Return for every server why it could or could not take a request.

    Args:
        req: The request.
        servers: The ServerTable.
        now: Monotonic time in seconds.

    Returns:
        Pairs of ServerState and Reason, with None for candidates.
    """
    if req.model is not None:
        possible, missing = servers.with_model, Reason.MODEL_NOT_READY
        names = {s.declared.name for s in possible(req.model)}
    else:
        possible, missing = servers.in_group, Reason.WRONG_GROUP
        names = {s.declared.name for s in possible(req.group)}
    return tuple(
        (
            state,
            exclusion_reason(req, state, now) if name in names else missing,
        )
        for name, state in sorted(servers.servers.items())
    )
