"""Servers that are able to run a request, as this instance knows them."""

import functools
import math
import random

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import server_choice
from wagtailtide_gateway.decisions import spread_choice

# Service times assumed before any request of a service has completed.
DEFAULT_ENGINE_SERVICE_S = 1.5
DEFAULT_PLAIN_SERVICE_S = 0.1

# Slots per server assumed while no server of a service is usable.
DEFAULT_SLOTS = 8

# Time to fetch an adapter and to learn from the leader that it is there.
ADAPTER_FETCH_S = 0.08

# Added to the load time of a model whose load has not been ordered yet: the
# engine may have to unload another model first.
LOAD_ORDER_DELAY_S = 1.0

# Share of the server drain time after which the list of servers is too old to
# send requests by it. The rest is for the request to reach its server.
MAX_LIST_AGE_SHARE = 0.9

# Time in which a list that is too old is expected to be replaced.
LIST_REFRESH_S = 0.3

# Time in which a plain service without a usable server is expected to recover:
# an unreachable server is removed or comes back within seconds.
UNREACHABLE_RECOVERY_S = 1.0


class Availability:
    """Tells which servers can run a request, and which one is the best.

    Args:
        cfg: The Settings.
        servers: ServerView of the instance.
        peers: PeerDirectory of the instance.
        exchange: Exchange with the leader.
        memory: EngineMemory of the instance.
        classes: ClassShares, None if all requests count alike.
    """

    def __init__(self, cfg, servers, peers, exchange, memory, classes=None):
        self._classes = classes
        self._memory = memory
        self._cfg = cfg
        self._peers = peers
        self._servers = servers
        self._exchange = exchange

    def usable(self, job, now):
        """Return the ServerState of each server that the request may use.

        It need not hold the request's model.
        """
        return [s for s in self._known(job, now) if not s.pauses(now)]

    def pause_s(self, job, now):
        """Return the seconds until a paused server can run the request.

        None if no server that could run it has asked for a pause.
        """
        return min(
            (
                state.paused_until - now
                for state in self._known(job, now)
                if state.pauses(now)
                and (
                    job.is_plain
                    or state.can_serve(job.req.model, job.req.adapter, now)
                )
            ),
            default=None,
        )

    def _known(self, job, now):
        """Return the servers that the request may use, paused ones too."""
        if self.is_list_outdated(now):
            return []
        version, tried = job.software_version, job.tried
        return [
            state
            for state in self._servers.of_service(job.service.name)
            if (version is None or version == state.server.software_version)
            and state.accepts_requests
            and not (tried and state.server.id in tried)
            and self._has_path(state.server.id, now)
        ]

    def _has_path(self, server_id, now):
        return not self._is_unreachable(server_id) or (
            self._peers.has_path(server_id, now)
        )

    def _is_unreachable(self, server_id):
        return self._servers.reachability.is_unreachable(server_id)

    def capable(self, job, now):
        """Return the usable servers that hold the request's model.

        Servers that only other instances reach count if there is no other.
        """
        states = self.usable(job, now)
        if not job.is_plain:
            model, adapter = job.req.model, job.req.adapter
            states = [s for s in states if s.can_serve(model, adapter, now)]
        unreachable = self._servers.reachability.unreachable
        if not unreachable:
            return states
        return [s for s in states if s.server.id not in unreachable] or states

    def capable_by_limit(self, job, now):
        """Return the capable servers without and those with a limit."""
        unlimited, limited = [], []
        for state in self.capable(job, now):
            has_limit = state.limit.present_per_s(now) is not None
            (limited if has_limit else unlimited).append(state)
        return unlimited, limited

    def best_free(self, job, capable, reserves=True):
        """Return the candidates and the one to use, None if it is full.

        Args:
            job: The Job.
            capable: ServerState objects of the servers that can run it.
            reserves: Whether a request that needs a reservation of engine
                memory uses a server with one only, and else asks for one.

        Returns:
            The Candidate objects and a ServerState or None.
        """
        now = anyio.current_time()
        view = self._class_view(job, now)
        candidates = [self._candidate(s, now, view) for s in capable]
        service_s = self.service_time_s(job)
        fitting = self._memory.fitting(
            job, capable, self._exchange.instances, service_s
        )
        usable = [c for c in candidates if c.id in fitting]
        room = functools.partial(
            spread_choice.room,
            priority=job.priority,
            target_s=job.route.latency_target_s,
            service_s=service_s,
        )
        if view is not None:
            rooms = view.rooms(job, usable, now)
            usable = [c for c in usable if rooms.get(c.id, 0.0) > 0.0]
            room = functools.partial(_room_in, rooms)
        best = self._choose(job, usable, room, service_s)
        if reserves:
            best = self._reserved(job, usable, room, best)
        return candidates, next(
            (s for s in capable if best and s.server.id == best.id), None
        )

    def _choose(self, job, candidates, room, service_s):
        """Return the Candidate for a request, or None if all are full."""
        if self._cfg.learns_capacity:
            return spread_choice.choose(
                candidates,
                self._cfg.zone,
                job.prefix_hash,
                random.random,
                self._exchange.interval_s / service_s,
                room,
            )
        best = server_choice.choose_server(
            candidates, self._cfg.zone, job.prefix_hash, random.random
        )
        return best if best is not None and room(best) > 0.0 else None

    def _reserved(self, job, candidates, room, best):
        """Return the Candidate that a request may use, or None.

        Args:
            job: The Job.
            candidates: The Candidate objects with memory for it.
            room: Function that returns how many requests more each may get.
            best: The best Candidate, None if all are full.
        """
        memory = self._memory
        if not memory.needs_reservation(job, self._exchange.instances):
            return best
        if best is None:
            memory.withdraw_reservation(job)
            return None
        free = {c.id: c for c in candidates if room(c) > 0.0}
        reserved = free.get(memory.reserved_server(job))
        if reserved is None:
            others = sorted(
                free.keys() - {best.id},
                key=lambda id_: free[id_].load / free[id_].slots,
            )
            memory.reserve(job, [best.id, *others])
        return reserved

    def _class_view(self, job, now):
        """Return the ClassView of a request, None if classes do not count."""
        if (
            self._classes is None
            or job.is_plain
            # Callers may ask for any number of models that do not exist.
            or job.req.model not in job.service.engine.models
        ):
            return None
        return self._classes.view(
            job, self._exchange.instances, self.service_time_s(job), now
        )

    def class_pool(self, job, pool, candidates):
        """Return the part of an admission.ServerPool for a request's class."""
        view = self._class_view(job, anyio.current_time())
        return pool if view is None else view.pool(pool, candidates)

    def best_permitted(self, job, limited, now, reserves=True):
        """Return the best limited server that may get a request, or None.

        Args:
            job: The Job.
            limited: ServerState objects of the limited servers.
            now: Time in seconds.
            reserves: As for `best_free`.
        """
        instances = self._exchange.leaderless_instances
        permitted = [
            s
            for s in limited
            if s.limit.allows(instances, now, s.server.slots, s.own_load)
        ]
        if not permitted:
            return None
        return self.best_free(job, permitted, reserves)[1]

    def limited_per_s(self, limited, now):
        """Return the requests a second that limited servers take.

        While no leader answers, only the part of this instance counts.

        Args:
            limited: ServerState of each.
            now: Time in seconds.
        """
        instances = self._exchange.leaderless_instances
        return sum(s.limit.usable_per_s(instances, now) for s in limited)

    def limited_waiting(self, limited):
        """Return how many requests of other instances the leader counted."""
        if self._exchange.leaderless_instances is not None:
            return 0
        return sum(s.limit.others_waiting for s in limited)

    def retries_per_s(self, job, now):
        """Return the retries a second that this instance may admit."""
        instances = max(1, self._exchange.instances)
        unlimited, limited = self.capable_by_limit(job, now)
        if limited and not unlimited:
            if self._exchange.leaderless_instances is not None:
                # The rate is that of this instance alone.
                instances = 1
            return self.limited_per_s(limited, now) / instances
        slots = max(
            (state.sustained_slots for state in self.usable(job, now)),
            default=DEFAULT_SLOTS,
        )
        return slots / self.service_time_s(job) / instances

    def needs_adapter(self, job):
        """Return whether servers with the model lack the request's adapter.

        Servers that state a limit count only if no other one has the model.
        """
        if job.req.adapter is None:
            return False
        now = anyio.current_time()
        states = [
            s
            for s in self.usable(job, now)
            if s.can_serve(job.req.model, None, now)
        ]
        states = [s for s in states if s.limit.per_s is None] or states
        return bool(states) and not any(
            s.can_serve(job.req.model, job.req.adapter, now) for s in states
        )

    def other_server_in_s(self, job):
        """Return the seconds until a further server can run a request.

        One without a limit that lacks only its adapter, loads its model, or
        is still cold; infinity if there is none.
        """
        if self.needs_adapter(job):
            return ADAPTER_FETCH_S
        loading_s = self._exchange.loading_s.get(job.demand_key, math.inf)
        now = anyio.current_time()
        cold_s = (
            max(0.0, state.limit.cold.opens_at - now)
            for state in self.capable(job, now)
            if state.limit.per_s is None and state.limit.cold.is_limited(now)
        )
        return min(loading_s, *cold_s, math.inf)

    def ready_in_s(self, job, now):
        """Return the seconds until a server is able to run the request.

        Raises:
            ServingError: The service has no such model.
        """
        if self.is_list_outdated(now):
            return LIST_REFRESH_S
        pause_s = self.pause_s(job, now)
        if pause_s is None:
            return self._recovery_s(job, now)
        return min(pause_s, self.other_server_in_s(job))

    def _recovery_s(self, job, now):
        """Return the seconds until a server that does not pause can run it."""
        usable = self.usable(job, now)
        if job.is_plain:
            return UNREACHABLE_RECOVERY_S
        if any(s.can_serve(job.req.model, None, now) for s in usable):
            return ADAPTER_FETCH_S
        loading_s = self._exchange.loading_s.get(job.demand_key)
        if loading_s is not None:
            return loading_s
        model = job.service.engine.models.get(job.req.model)
        if model is None:
            raise kinds.ServingError(
                kinds.ErrorKind.UNKNOWN_MODEL,
                f'service {job.service.name} has no model {job.req.model}; '
                'use a model that the service is configured with',
            )
        return self._load_s(model, usable) + LOAD_ORDER_DELAY_S

    def service_time_s(self, job):
        """Return the seconds that a request like this occupies a slot."""
        default_s = (
            DEFAULT_PLAIN_SERVICE_S
            if job.is_plain
            else DEFAULT_ENGINE_SERVICE_S
        )
        service_s = self._servers.service_time_s(job.service.name, default_s)
        return max(service_s, admission.MIN_SERVICE_S)

    def is_list_outdated(self, now):
        """Return whether the list of servers is too old to send by it."""
        max_age_s = self._cfg.server_drain_s * MAX_LIST_AGE_SHARE
        return self._servers.is_outdated(max_age_s, now)

    def _candidate(self, state, now, view):
        server = state.server
        load, less_urgent, ahead = state.load, 0.0, 0.0
        if state.limit.brittle.per_s is not None:
            # A permit is for a free slot, whatever the last known load is.
            load = min(load, server.slots - 1)
        if view is not None:
            load, less_urgent, ahead = view.loads_of(state)
        return server_choice.Candidate(
            server.id,
            server.zone,
            state.sustained_slots,
            load,
            self._servers.health.failure_rate(server.id, now),
            state.capacity.slowdown,
            less_urgent,
            ahead,
        )

    def _load_s(self, model, usable):
        times = [model.store_load_s]
        for state in usable:
            residency = state.residency
            if model.name in residency.in_memory:
                times.append(model.memory_load_s)
            elif model.name in residency.on_disk:
                times.append(model.disk_load_s)
        return min(times)


def _room_in(rooms, candidate):
    return rooms[candidate.id]
