"""Cost of placement by fleet size: CPU time of a plan and store calls."""

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
OWNED_SERVERS = 2
REPLICA_TOKENS_PER_S = 160.0


@dataclasses.dataclass(frozen=True)
class PlanTime:
    """CPU time of one plan.

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
    """Measure the plans of one owner while server states and demand change.

    Args:
        models: Number of models.
        servers: Number of servers in the fleet, of which the owner has two.
        clock: Function that returns CPU seconds, for example
            ``time.process_time``.
        ticks: Number of plans.
        seed: Seed of the random states and demand.

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
        planner.fleet.put(_make_state(name, keys, rng))
    owned = {
        n: _make_owned(planner.fleet.get(n)) for n in names[:OWNED_SERVERS]
    }
    times = []
    for tick in range(ticks):
        for name in rng.sample(names[OWNED_SERVERS:], max(1, servers // 20)):
            planner.fleet.put(_make_state(name, keys, rng))
        needs = _make_needs(keys, rng)
        started = clock()
        planner.plan(needs, owned, 2.0 * tick)
        times.append(clock() - started)
    times.sort()
    return PlanTime(models, servers, times[ticks // 2], times[-1])


def _make_state(name, keys, rng):
    count = min(len(keys), rng.randrange(SERVER_GIB // MODEL_GIB + 1))
    ready = frozenset(rng.sample(keys, count))
    free = (SERVER_GIB - count * MODEL_GIB) * GIB
    zone = f'z{int(name[1:]) % 9}'
    return fleets.EngineState(name, zone, 8, (free,) * 3, ready)


def _make_owned(state):
    return decisions.OwnedServer(
        state.name,
        state.zone,
        state.accelerators,
        state.available_bytes[0],
        tuple(
            decisions.Resident(key, MODEL_GIB * GIB, 0.0)
            for key in state.ready
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
    """Store calls of all instances together.

    Attributes:
        reads: Reads an hour.
        writes: Writes an hour.
    """

    reads: float
    writes: float


def store_calls_per_hour(
    servers, unfenced_share, moves, takeovers, backup_interval_s=60.0
):
    """Return the store calls for ownership and placement of a fleet.

    The number does not depend on the number of instances: an owner needs no
    reads to keep a server, and only one backup instance checks each server
    periodically.

    Args:
        servers: Number of engines.
        unfenced_share: Share of the engines that ignore fencing tokens.
        moves: Loads an hour; each may need one unload.
        takeovers: Servers that change their owner, an hour.
        backup_interval_s: Interval in seconds at which a server's backup
            instance, the second in its rendezvous order, checks its owner.
    """
    checks = servers * 3600.0 / backup_interval_s
    recorded_moves = moves * unfenced_share
    return StoreCalls(
        # A check reads the server and its owner's session. Each list is read
        # before it is changed. A new owner reads the server, the session and
        # all lists, in one call each.
        reads=2 * checks + 2 * moves + 3 * takeovers,
        # A move changes two lists. On an engine without fencing the load, the
        # unload and the removal of settled orders are recorded too. A takeover
        # writes the release and the claim.
        writes=2 * moves + 3 * recorded_moves + 2 * takeovers,
    )
