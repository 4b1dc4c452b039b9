"""Loads and unloads that an owner orders on its own servers.

Every owner plans from the same news. Models that lack replicas are taken in
the same order and each goes to the first server in its rendezvous order, so
that owners rarely load the same one. Nothing is unloaded unless its room is
needed by another model.
"""

from collections.abc import Mapping
import dataclasses

from wagtailtide_core.placement import decisions
from wagtailtide_core.placement import fleet as fleets
from wagtailtide_core.placement import targets

# Time that a model stays after its load before one that waits may replace it.
# Not less than the time for which a load may be repeated by the network, in
# which its memory would not become free.
TURN_S = 60.0
# A request for a model keeps it in the queue for this time.
WANTED_S = 120.0
# Room that is being made for a model is kept for it for this time.
PROMISE_S = 120.0
# Loads and evictions that one plan of an owner may start on each server.
MAX_STARTS = 2
# Lookups of a server in one plan; those left over come first in the next.
MAX_LOOKUPS = 50


@dataclasses.dataclass(frozen=True)
class _Promise:
    key: str
    size_bytes: int
    until: float


class Planner:
    """Plans of one owner.

    Attributes:
        fleet: News of all servers.
        targets: Wanted numbers of replicas.
        failures: Failed loads on own servers.
    """

    def __init__(self, fleet, wanted_replicas):
        self.fleet = fleet
        self.targets = wanted_replicas
        self.failures = targets.LoadFailures()
        self._needs = {}
        self._waiting = {}
        self._wanted = {}
        self._promises = {}
        self._looked_up_at = {}

    def want(self, key, now):
        """Note that a request waits for a model."""
        self._wanted[key] = now + WANTED_S

    def waiting_s(self, key, now):
        """Return for how long a model has been waiting for a replica."""
        return now - self._waiting.get(key, now)

    def describe(self, own, now):
        """Return the news of an own server and index them."""
        promised = self._promises.get(own.name)
        coming = own.loading | ({promised.key} if promised else set())
        free = own.free_bytes
        if promised is not None and promised.key not in own.loading:
            free -= promised.size_bytes
        rooms = [max(0, free)] * len(fleets.Room)
        if own.may_unload:
            for spare, _, resident in self._spares(own, now):
                if spare is not decisions.Spare.HAD_ITS_TURN:
                    rooms[fleets.Room.SPARE] += resident.size_bytes
                rooms[fleets.Room.TURN] += resident.size_bytes
        news = fleets.ServerNews(
            own.name,
            own.zone,
            own.accelerators,
            tuple(rooms),
            frozenset(r.key for r in own.residents),
            frozenset(coming),
            self.failures.failing(own.name, now),
            own.may_load,
        )
        self.fleet.put(news)
        return news

    def plan(self, needs: Mapping[str, targets.Need], own_servers, now):
        """Decide what to load and unload.

        Args:
            needs: All models with their demand, by ``name@version``.
            own_servers: OwnServer by name.
            now: Current time in seconds.

        Returns:
            The Plan. The caller gives its orders and describes its servers
            again.
        """
        self._needs = needs
        lacking = self._update_lacking(now)
        self._update_promises(own_servers, now)
        for own in own_servers.values():
            self.describe(own, now)
        loads, unloads = self._redeem_promises(own_servers), []
        taken = {load.server: load.size_bytes for load in loads}
        starts = {load.server: 1 for load in loads}
        for key in lacking[:MAX_LOOKUPS]:
            need = needs[key]
            self._looked_up_at[key] = now
            name, room = self._find(need, taken, now)
            if name is None:
                continue
            taken[name] = taken.get(name, 0) + need.size_bytes
            if name not in own_servers or starts.get(name, 0) >= MAX_STARTS:
                continue
            starts[name] = starts.get(name, 0) + 1
            if room is fleets.Room.FREE:
                loads.append(decisions.Load(name, key, need.size_bytes))
            else:
                unloads += self._make_room(own_servers[name], need, room, now)
        return decisions.Plan(tuple(loads), tuple(unloads))

    def _update_lacking(self, now):
        """Return the models that lack replicas, the most urgent first."""
        without, more = [], []
        self._wanted = {k: u for k, u in self._wanted.items() if now < u}
        for key, need in self._needs.items():
            target = self.targets.update(need, now)
            held = len(self.fleet.holders(key))
            if held:
                self._waiting.pop(key, None)
                if target > held:
                    more.append((-need.model.priority, held / target, key))
            elif target or key in self._wanted:
                self._waiting.setdefault(key, now)
                without.append(key)
            else:
                self._waiting.pop(key, None)
        for state in (self._waiting, self._looked_up_at):
            for key in state.keys() - self._needs.keys():
                del state[key]
        without.sort(key=self._urgency)
        return without + [key for *_, key in sorted(more)]

    def _urgency(self, key):
        # Models that find no room must not keep those behind them from being
        # looked up, so each lookup moves a model back by a round.
        rounds = self._looked_up_at.get(key, -1.0) if self._is_crowded else 0
        return rounds, self._waiting[key], -self._needs[key].model.priority

    @property
    def _is_crowded(self):
        return len(self._waiting) > MAX_LOOKUPS

    def _find(self, need, taken, now):
        held = len(self.fleet.holders(need.key))
        rooms = [fleets.Room.FREE]
        if not held or self.targets.pays(need, held):
            rooms.append(fleets.Room.SPARE)
        asked_for = (
            need.key in self._wanted
            or need.forecast.lasting >= targets.IDLE_TOKENS_PER_S
        )
        if not held and asked_for:
            rooms.append(fleets.Room.TURN)
        for room in rooms:
            name = self.fleet.find_server(
                need.key,
                need.size_bytes,
                need.model.accelerators,
                room,
                taken,
            )
            if name is not None:
                return name, room
        return None, None

    def _update_promises(self, own_servers, now):
        for name, promise in tuple(self._promises.items()):
            own = own_servers.get(name)
            if (
                own is None
                or now >= promise.until
                or promise.key
                in (
                    *own.loading,
                    *(resident.key for resident in own.residents),
                )
            ):
                del self._promises[name]

    def _redeem_promises(self, own_servers):
        return [
            decisions.Load(name, promise.key, promise.size_bytes)
            for name, promise in self._promises.items()
            if own_servers[name].may_load
            and own_servers[name].free_bytes >= promise.size_bytes
        ]

    def _make_room(self, own, need, room, now):
        if own.name in self._promises:
            return []
        free = own.free_bytes
        chosen = []
        for spare, _, resident in self._spares(own, now):
            if free >= need.size_bytes:
                break
            is_turn = spare is decisions.Spare.HAD_ITS_TURN
            if is_turn and room is not fleets.Room.TURN:
                break
            free += resident.size_bytes
            chosen.append((spare, resident))
        if free < need.size_bytes:
            return []
        self._promises[own.name] = _Promise(
            need.key, need.size_bytes, now + PROMISE_S
        )
        return [
            decisions.Unload(
                own.name,
                resident.key,
                resident.size_bytes,
                spare is not decisions.Spare.NOT_NEEDED,
                spare,
            )
            for spare, resident in chosen
        ]

    def _spares(self, own, now):
        """Return what may be unloaded, the best first."""
        spares = []
        for resident in own.residents:
            need = self._needs.get(resident.key)
            target = self.targets.get(resident.key) if need else 0
            wanted = resident.key in self._wanted
            ready = self.fleet.ready(resident.key)
            if len(ready - {own.name}) >= max(1, target) and (
                own.name not in self.fleet.keepers(resident.key, target)
            ):
                spare = decisions.Spare.NOT_NEEDED
            elif not target and not wanted:
                spare = decisions.Spare.IDLE
            elif now - resident.ready_since >= TURN_S:
                spare = decisions.Spare.HAD_ITS_TURN
            else:
                continue
            in_use = bool(
                need and need.forecast.lasting >= targets.IDLE_TOKENS_PER_S
            )
            rank = (
                spare,
                in_use,
                need.model.priority if need else 0,
                resident.ready_since,
                resident.key,
            )
            spares.append((spare, rank, resident))
        return sorted(spares, key=lambda item: item[1])
