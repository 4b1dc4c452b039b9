"""Choice of a backend server by the power of two choices."""

import dataclasses
import enum

from wagtailtide_core.retries import breaker

# One-way delays between zones of a region are about 0.5 ms, far below the
# duration of a request, so the preference for the instance's zone is small.
SAME_ZONE_WEIGHT = 1.0
SAME_REGION_WEIGHT = 0.7
OTHER_REGION_WEIGHT = 0.05

# Extra work of fetching the adapter, as a share of the server's slots.
ADAPTER_MISS_WORK = 0.15

# Work saved by a prefix that is probably cached, as a share of the server's
# slots.
PREFIX_HIT_WORK = 0.1


class ExclusionReason(enum.StrEnum):
    """Reason why a server was not a candidate."""

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
    """A server that was not a candidate, with the reason."""

    server: str
    reason: ExclusionReason


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """Properties of a request that a choice depends on.

    Attributes:
        model: ``(name, version)``, or None for a plain service.
        adapter: ``(model, adapter)``, or None.
        group: Group of plain servers, or None for a model.
        zone: Zone of the instance.
        near_zones: Zones in the region of the instance.
        servers_with_other_suspects: Servers that run another request
            suspected of crashing servers, if this request is suspected too;
            else empty.
        exclude: Servers that were tried before.
        prefix_servers: Servers that probably have the prompt's prefix cached.
    """

    model: tuple[str, str] | None = None
    adapter: tuple[str, str] | None = None
    group: str | None = None
    zone: str = ''
    near_zones: frozenset[str] = frozenset()
    servers_with_other_suspects: frozenset[str] = frozenset()
    exclude: frozenset[str] = frozenset()
    prefix_servers: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen server.

    Attributes:
        server: Name of the server.
        work: Estimated work, as a share of the server's slots.
        compared_with: Name of the other sampled server, or None.
        excluded: Exclusions of the servers that were not candidates.
    """

    server: str
    work: float
    compared_with: str | None
    excluded: tuple[Exclusion, ...]


@dataclasses.dataclass(frozen=True)
class NoServer:
    """No server can take the request.

    Attributes:
        excluded: Exclusions of all considered servers.
    """

    excluded: tuple[Exclusion, ...]


def exclusion_reason(req, state, now):
    """Return why a server cannot take a request, or None if it can.

    Args:
        req: The RouteRequest.
        state: The ServerState.
        now: Monotonic time in seconds.
    """
    if state.draining:
        return ExclusionReason.DRAINING
    if state.leaving:
        return ExclusionReason.LEAVING
    if state.breaker.state(now) is breaker.BreakerState.OPEN:
        return ExclusionReason.BREAKER_OPEN
    if (
        req.adapter is not None
        and state.needs_adapter_orders
        and req.adapter not in state.adapters
    ):
        return ExclusionReason.ADAPTER_NOT_READY
    if state.declared.name in req.exclude:
        return ExclusionReason.TRIED_BEFORE
    if state.declared.name in req.servers_with_other_suspects:
        return ExclusionReason.OTHER_SUSPECT_RUNNING
    return None


def estimate_work(req, state, now):
    """Estimate a server's work for a request, as a share of its slots.

    This is the work already on the server, increased by an adapter fetch and
    reduced by a cached prefix.
    """
    work = state.estimate.requests(now) / state.declared.slots
    if req.adapter is not None and req.adapter not in state.adapters:
        work += ADAPTER_MISS_WORK
    if state.declared.name in req.prefix_servers:
        work -= PREFIX_HIT_WORK
    return work


def _weight(req, state):
    zone = state.declared.zone
    if zone == req.zone:
        zone_weight = SAME_ZONE_WEIGHT
    elif zone in req.near_zones:
        zone_weight = SAME_REGION_WEIGHT
    else:
        zone_weight = OTHER_REGION_WEIGHT
    return zone_weight * state.declared.slots


def choose_server(req, servers, now, rng):
    """Choose a backend server for a request.

    Two candidates are sampled at random, weighted by zone and capacity, and
    the one with less estimated work is chosen. Random sampling prevents
    instances with the same outdated load reports from all choosing the same
    server.

    Args:
        req: The RouteRequest.
        servers: The ServerTable.
        now: Monotonic time in seconds.
        rng: A random.Random.

    Returns:
        A Choice, or NoServer with the reason for each server.
    """
    if req.model is not None:
        considered = servers.with_model(req.model)
    else:
        considered = servers.in_group(req.group)
    # The order of sets differs between processes; sorting makes a choice
    # reproducible from the seed.
    considered.sort(key=lambda state: state.declared.name)
    candidates, excluded = [], []
    for state in considered:
        reason = exclusion_reason(req, state, now)
        if reason is None:
            candidates.append(state)
        else:
            excluded.append(Exclusion(state.declared.name, reason))
    if not candidates:
        return NoServer(tuple(excluded))
    sampled = _sample_two(req, candidates, rng)
    estimates = [(estimate_work(req, state, now), state) for state in sampled]
    work, best = min(estimates, key=lambda pair: pair[0])
    other_name = next(
        (s.declared.name for s in sampled if s is not best), None
    )
    return Choice(best.declared.name, work, other_name, tuple(excluded))


def _sample_two(req, candidates, rng):
    weights = [_weight(req, state) for state in candidates]
    first = rng.choices(range(len(candidates)), weights)[0]
    if len(candidates) == 1:
        return [candidates[0]]
    weights[first] = 0.0
    second = rng.choices(range(len(candidates)), weights)[0]
    return [candidates[first], candidates[second]]


def explain(req, servers, now):
    """Return for every server whether it is a candidate, and if not, why.

    Args:
        req: The RouteRequest.
        servers: The ServerTable.
        now: Monotonic time in seconds.

    Returns:
        Pairs of ServerState and ExclusionReason; the reason is None for a
        candidate.
    """
    if req.model is not None:
        lookup, missing_reason = (
            servers.with_model,
            ExclusionReason.MODEL_NOT_READY,
        )
        names = {s.declared.name for s in lookup(req.model)}
    else:
        lookup, missing_reason = servers.in_group, ExclusionReason.WRONG_GROUP
        names = {s.declared.name for s in lookup(req.group)}
    return tuple(
        (
            state,
            exclusion_reason(req, state, now)
            if name in names
            else missing_reason,
        )
        for name, state in sorted(servers.servers.items())
    )
