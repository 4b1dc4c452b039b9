"""Measure what placement costs as the fleet grows; no I/O."""

import dataclasses
import random

from wagtailtide_core.document import schema
from wagtailtide_core.placement import decisions
from wagtailtide_core.placement import demand
from wagtailtide_core.placement import fleet as fleets
from wagtailtide_core.placement import plan
from wagtailtide_core.placement import targets

GIB = 1 << 30
MODEL_GIB = 20
SERVER_GIB = 80
OWN_SERVERS = 2
REPLICA_TOKENS_PER_S = 160.0


@dataclasses.dataclass(frozen=True)
class PlanTime:
    """Time of one plan.

    Attributes:
        models: Number of models.
        servers: Number of servers.
        median_s: Median time in seconds.
        worst_s: Longest time in seconds.
    """

    models: int
    servers: int
    median_s: float
    worst_s: float


def time_plans(models, servers, clock, ticks=20, seed=1):
    """Measure plans of an owner while news and demand change.

    Args:
        models: Number of models.
        servers: Number of servers in the fleet, of which two are own.
        clock: Function that returns CPU seconds, for example
            ``time.process_time``.
        ticks: Number of plans.
        seed: Seed of news and demand.

    Returns:
        PlanTime.
    """
    rng = random.Random(seed)
    planner = plan.Planner(
        fleets.Fleet(), targets.Targets(REPLICA_TOKENS_PER_S)
    )
    keys = [f'm{number}@1' for number in range(models)]
    names = [f's{number}' for number in range(servers)]
    for name in names:
        planner.fleet.put(_make_news(name, keys, rng))
    own = {n: _make_own(planner.fleet.get(n)) for n in names[:OWN_SERVERS]}
    times = []
    for tick in range(ticks):
        for name in rng.sample(names[OWN_SERVERS:], max(1, servers // 20)):
            planner.fleet.put(_make_news(name, keys, rng))
        needs = _make_needs(keys, rng)
        started = clock()
        planner.plan(needs, own, 2.0 * tick)
        times.append(clock() - started)
    times.sort()
    return PlanTime(models, servers, times[ticks // 2], times[-1])


def _make_news(name, keys, rng):
    count = min(len(keys), rng.randrange(SERVER_GIB // MODEL_GIB + 1))
    ready = frozenset(rng.sample(keys, count))
    free = (SERVER_GIB - count * MODEL_GIB) * GIB
    zone = f'z{int(name[1:]) % 9}'
    return fleets.ServerNews(name, zone, 8, (free,) * 3, ready)


def _make_own(news):
    return decisions.OwnServer(
        news.name,
        news.zone,
        news.accelerators,
        news.room_bytes[0],
        tuple(
            decisions.Resident(key, MODEL_GIB * GIB, 0.0) for key in news.ready
        ),
    )


def _make_needs(keys, rng):
    needs = {}
    for key in keys:
        rate = rng.choice((0.0, 1.0, 50.0, 300.0))
        model = schema.Model(
            name=key.partition('@')[0],
            version='1',
            weights_bytes=MODEL_GIB * GIB - 1,
            kv_reserve_bytes=1,
        )
        needs[key] = targets.Need(model, demand.Forecast(rate, rate))
    return needs


@dataclasses.dataclass(frozen=True)
class StoreCalls:
    """Store calls of all instances together in an hour.

    Attributes:
        reads: Reads.
        writes: Writes.
    """

    reads: float
    writes: float


def store_calls_per_hour(
    servers, unfenced_share, moves, takeovers, backup_s=60.0
):
    """Return the store calls for ownership and placement of a fleet.

    They do not depend on the number of instances: an owner reads nothing to
    hold a server, and one other instance looks at it now and then.

    Args:
        servers: Number of engines.
        unfenced_share: Share of them that ignore fencing tokens.
        moves: Loads an hour; each may need one unload.
        takeovers: Servers that change their owner in an hour.
        backup_s: Time between two looks of the second in the order.
    """
    looks = servers * 3600.0 / backup_s
    recorded = moves * unfenced_share
    return StoreCalls(
        # Server and session of a look; each list is read before its change;
        # a new owner reads server, session and all lists in one call each.
        reads=2 * looks + 2 * moves + 3 * takeovers,
        # Two lists; load, unload and the pruning of the record; claim and
        # release.
        writes=2 * moves + 3 * recorded + 2 * takeovers,
    )
