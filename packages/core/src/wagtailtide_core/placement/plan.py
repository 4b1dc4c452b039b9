"""Planning of the loads and unloads that an owner orders on its servers.

Every owner plans from the same gossiped state. Models that lack replicas are
considered in the same order, and each is assigned to the first suitable server
in its rendezvous order, so that owners rarely load the same model twice. A
model is unloaded only if another model needs its memory.
"""

from collections.abc import Mapping
import dataclasses

from wagtailtide_core.placement import decisions
from wagtailtide_core.placement import fleet as fleets
from wagtailtide_core.placement import targets

# Time for which a loaded model cannot be replaced by a waiting one. Not less
# than `memory.MAX_REDELIVERY_DELAY_S`, within which an unload would not free
# memory because the network may still deliver the load again.
MIN_RESIDENCY_S = 60.0
# A model stays in the queue for this time after the last request for it.
REQUEST_TTL_S = 120.0
# Memory that is being freed for a model stays reserved for this time.
RESERVATION_TTL_S = 120.0
# Loads and evictions that one plan may start on each server.
MAX_STARTS_PER_SERVER = 2
# Models for which one plan looks for a server; the next plan starts with the
# remaining ones.
MAX_LOOKUPS_PER_PLAN = 50


@dataclasses.dataclass(frozen=True)
class _Reservation:
    key: str
    size_bytes: int
    until: float


class Planner:
    """Planner of one owner.

    Attributes:
        fleet: Fleet with the state of all engines.
        targets: Target numbers of replicas.
        failures: Failed loads on owned servers.
    """

    def __init__(self, fleet, replica_targets):
        self.fleet = fleet
        self.targets = replica_targets
        self.failures = targets.LoadFailures()
        self._needs = {}
        self._waiting_since = {}
        self._requested_until = {}
        self._reservations = {}
        self._last_lookup_at = {}

    def record_request(self, key, now):
        """Record that a request waits for a model."""
        self._requested_until[key] = now + REQUEST_TTL_S

    def waiting_s(self, key, now):
        """Return the seconds for which a model has waited for a replica."""
        return now - self._waiting_since.get(key, now)

    def describe(self, owned, now):
        """Return the state of an owned server and put it into the fleet."""
        reservation = self._reservations.get(owned.name)
        pending = owned.loading | ({reservation.key} if reservation else set())
        free = owned.free_bytes
        if reservation is not None and reservation.key not in owned.loading:
            free -= reservation.size_bytes
        available_bytes = [max(0, free)] * len(fleets.MemorySource)
        if owned.may_unload:
            for reason, _, resident in self._eviction_candidates(owned, now):
                if reason is not decisions.EvictionReason.PREEMPTIBLE:
                    available_bytes[fleets.MemorySource.EVICTION] += (
                        resident.size_bytes
                    )
                available_bytes[fleets.MemorySource.PREEMPTION] += (
                    resident.size_bytes
                )
        state = fleets.EngineState(
            owned.name,
            owned.zone,
            owned.accelerators,
            tuple(available_bytes),
            frozenset(r.key for r in owned.residents),
            frozenset(pending),
            self.failures.in_backoff(owned.name, now),
            owned.may_load,
        )
        self.fleet.put(state)
        return state

    def plan(self, needs: Mapping[str, targets.Need], owned_servers, now):
        """Decide what to load and unload.

        Args:
            needs: Needs of all models, by ``name@version``.
            owned_servers: OwnedServers by name.
            now: Current time in seconds.

        Returns:
            The Plan. The caller carries it out and calls `describe` again for
            its servers.
        """
        self._needs = needs
        lacking = self._update_targets(now)
        self._drop_ended_reservations(owned_servers, now)
        for owned in owned_servers.values():
            self.describe(owned, now)
        loads, unloads = self._reserved_loads(owned_servers), []
        reserved_bytes = {load.server: load.size_bytes for load in loads}
        starts = {load.server: 1 for load in loads}
        for key in lacking[:MAX_LOOKUPS_PER_PLAN]:
            need = needs[key]
            self._last_lookup_at[key] = now
            name, source = self._find_server(need, reserved_bytes, now)
            if name is None:
                continue
            reserved_bytes[name] = (
                reserved_bytes.get(name, 0) + need.size_bytes
            )
            if (
                name not in owned_servers
                or starts.get(name, 0) >= MAX_STARTS_PER_SERVER
            ):
                continue
            starts[name] = starts.get(name, 0) + 1
            if source is fleets.MemorySource.FREE:
                loads.append(decisions.Load(name, key, need.size_bytes))
            else:
                unloads += self._evict_for(
                    owned_servers[name], need, source, now
                )
        return decisions.Plan(tuple(loads), tuple(unloads))

    def _update_targets(self, now):
        """Update the targets and return the models that lack replicas.

        The most urgent model comes first.
        """
        unserved, underprovisioned = [], []
        self._requested_until = {
            k: u for k, u in self._requested_until.items() if now < u
        }
        for key, need in self._needs.items():
            target = self.targets.update(need, now)
            held = len(self.fleet.holders(key))
            if held:
                self._waiting_since.pop(key, None)
                if target > held:
                    underprovisioned.append(
                        (-need.model.priority, held / target, key)
                    )
            elif target or key in self._requested_until:
                self._waiting_since.setdefault(key, now)
                unserved.append(key)
            else:
                self._waiting_since.pop(key, None)
        for state in (self._waiting_since, self._last_lookup_at):
            for key in state.keys() - self._needs.keys():
                del state[key]
        unserved.sort(key=self._urgency)
        return unserved + [key for *_, key in sorted(underprovisioned)]

    def _urgency(self, key):
        # Models for which no server has memory must not keep the models behind
        # them from being looked up, so a lookup moves a model to the back.
        last_lookup_at = (
            self._last_lookup_at.get(key, -1.0) if self._exceeds_lookups else 0
        )
        return (
            last_lookup_at,
            self._waiting_since[key],
            -self._needs[key].model.priority,
        )

    @property
    def _exceeds_lookups(self):
        return len(self._waiting_since) > MAX_LOOKUPS_PER_PLAN

    def _find_server(self, need, reserved_bytes, now):
        held = len(self.fleet.holders(need.key))
        sources = [fleets.MemorySource.FREE]
        if not held or self.targets.outweighs_move(need, held):
            sources.append(fleets.MemorySource.EVICTION)
        has_demand = (
            need.key in self._requested_until
            or need.forecast.sustained >= targets.IDLE_TOKENS_PER_S
        )
        if not held and has_demand:
            sources.append(fleets.MemorySource.PREEMPTION)
        for source in sources:
            name = self.fleet.find_server(
                need.key,
                need.size_bytes,
                need.model.accelerators,
                source,
                reserved_bytes,
            )
            if name is not None:
                return name, source
        return None, None

    def _drop_ended_reservations(self, owned_servers, now):
        for name, reservation in tuple(self._reservations.items()):
            owned = owned_servers.get(name)
            if (
                owned is None
                or now >= reservation.until
                or reservation.key
                in (
                    *owned.loading,
                    *(resident.key for resident in owned.residents),
                )
            ):
                del self._reservations[name]

    def _reserved_loads(self, owned_servers):
        return [
            decisions.Load(name, reservation.key, reservation.size_bytes)
            for name, reservation in self._reservations.items()
            if owned_servers[name].may_load
            and owned_servers[name].free_bytes >= reservation.size_bytes
        ]

    def _evict_for(self, owned, need, source, now):
        if owned.name in self._reservations:
            return []
        free = owned.free_bytes
        chosen = []
        for reason, _, resident in self._eviction_candidates(owned, now):
            if free >= need.size_bytes:
                break
            is_preemption = reason is decisions.EvictionReason.PREEMPTIBLE
            if is_preemption and source is not fleets.MemorySource.PREEMPTION:
                break
            free += resident.size_bytes
            chosen.append((reason, resident))
        if free < need.size_bytes:
            return []
        self._reservations[owned.name] = _Reservation(
            need.key, need.size_bytes, now + RESERVATION_TTL_S
        )
        return [
            decisions.Unload(
                owned.name,
                resident.key,
                resident.size_bytes,
                reason is not decisions.EvictionReason.NOT_NEEDED,
                reason,
            )
            for reason, resident in chosen
        ]

    def _eviction_candidates(self, owned, now):
        """Return what may be unloaded, the best candidate first.

        Returns:
            Tuples of the EvictionReason, its sort key and the Resident.
        """
        candidates = []
        for resident in owned.residents:
            need = self._needs.get(resident.key)
            target = self.targets.get(resident.key) if need else 0
            requested = resident.key in self._requested_until
            ready = self.fleet.ready(resident.key)
            if len(ready - {owned.name}) >= max(1, target) and (
                owned.name
                not in self.fleet.servers_to_keep(resident.key, target)
            ):
                reason = decisions.EvictionReason.NOT_NEEDED
            elif not target and not requested:
                reason = decisions.EvictionReason.IDLE
            elif now - resident.ready_since >= MIN_RESIDENCY_S:
                reason = decisions.EvictionReason.PREEMPTIBLE
            else:
                continue
            in_use = bool(
                need and need.forecast.sustained >= targets.IDLE_TOKENS_PER_S
            )
            sort_key = (
                reason,
                in_use,
                need.model.priority if need else 0,
                resident.ready_since,
                resident.key,
            )
            candidates.append((reason, sort_key, resident))
        return sorted(candidates, key=lambda item: item[1])
