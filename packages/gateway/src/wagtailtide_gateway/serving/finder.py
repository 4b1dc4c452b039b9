"""Selects a backend server for a request, queues it or rejects it."""

import random

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.control import messages
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import retry_schedule
from wagtailtide_gateway.decisions import server_choice

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

# Waiting requests check for a server at least this often.
RECHECK_INTERVAL_S = 0.25

# Requests that wait for an adapter check at least this often.
ADAPTER_RECHECK_INTERVAL_S = 0.03

# A waiting request is rejected after this multiple of the first predicted
# wait plus the extra seconds, because the prediction was wrong.
WAIT_TIMEOUT_FACTOR = 2.0
WAIT_TIMEOUT_EXTRA_S = 1.0

# Retry-After of requests rejected because this instance is stopping.
STOPPING_RETRY_AFTER_S = 0.1

# Time in which a plain service without a usable server is expected to recover:
# an unreachable server is removed or comes back within seconds.
UNREACHABLE_RECOVERY_S = 1.0


class Finder:
    """Applies server choice and admission to the state of this instance."""

    def __init__(self, cfg, shared_state, exchange, stopping):
        self._cfg = cfg
        self._stopping = stopping
        self._servers = shared_state.servers
        self._wait_queues = shared_state.wait_queues
        self._demand = shared_state.demand
        self._adapter_requests = shared_state.adapter_requests
        self._shared_state = shared_state
        self._exchange = exchange
        self._retry_schedule = retry_schedule.RetrySchedule()

    async def find(self, job):
        """Return the ServerState of the server that should run a request.

        Waits while all capable servers are full. A stream whose response has
        started cannot be rejected any more, so it waits for a server that can
        resume it until its deadline.

        Raises:
            ServingError: The request cannot be run in time, its model is
                unknown or this instance is stopping. It has not been sent to
                a further server.
        """
        waiter, started_at = None, anyio.current_time()
        wait_timeout_at = None
        try:
            while True:
                self._require_server_of_version(job)
                state, decision = self._decide(job, waiter)
                now = anyio.current_time()
                if decision.verdict is admission.Verdict.SEND:
                    state.limit.record_request(now)
                    return state
                is_overdue = wait_timeout_at is not None and (
                    now > wait_timeout_at
                )
                if not job.has_response_started:
                    if self._stopping():
                        raise _shutting_down_error()
                    if (
                        decision.verdict is admission.Verdict.REFUSE
                        or is_overdue
                    ):
                        raise self._refusal(job, decision)
                if waiter is None:
                    waiter = self._join_queue(job)
                    timeout_s = WAIT_TIMEOUT_FACTOR * decision.wait_s
                    wait_timeout_at = now + timeout_s + WAIT_TIMEOUT_EXTRA_S
                await self._wait(job, waiter)
        finally:
            if waiter is not None:
                self._wait_queues.remove(job.service.name, waiter)
                waiter.wait_for_permit(None)
                job.waited_s += anyio.current_time() - started_at
                if job.req.model is not None:
                    self._demand.record_wait_end(*job.demand_key)

    def has_free_server(self, job):
        """Return whether a server that was not tried could run a request."""
        now = anyio.current_time()
        unlimited, limited = self._capable_by_limit(job, now)
        return (
            self._best_free(job, unlimited)[1] is not None
            or self._best_permitted(job, limited, now) is not None
        )

    def _require_server_of_version(self, job):
        """Check that a begun stream still has servers that may go on with it.

        If no other server of its version has the model, a server that broke
        the stream off may be tried again.

        Raises:
            ServingError: No server of its version is left.
        """
        version = job.software_version
        if version is None:
            return
        if not any(
            state.server.software_version == version and not state.leaves
            for state in self._servers.of_service(job.service.name)
        ):
            raise kinds.ServingError(
                kinds.ErrorKind.STREAM_BROKEN
                if job.has_response_started
                else kinds.ErrorKind.NO_BACKEND_SERVER,
                f'no server of software version {version}, which began the '
                'stream, is left',
            )
        if not self._capable_servers(job, anyio.current_time()):
            job.tried.clear()

    def _join_queue(self, job):
        if job.req.model is not None:
            self._demand.record_wait(*job.demand_key)
            self._exchange.start_now()
        return self._wait_queues.add(
            job.service.name, job.req.model, job.priority
        )

    async def _wait(self, job, waiter):
        recheck_s = RECHECK_INTERVAL_S
        if self._needs_adapter(job):
            self._request_adapter(job)
            recheck_s = ADAPTER_RECHECK_INTERVAL_S
        self._request_permit(job, waiter)
        await waiter.wait(max(0.0, min(recheck_s, job.wait_left_s)))

    def _request_permit(self, job, waiter):
        """Request a permit of the limited server with the shortest queue."""
        now = anyio.current_time()
        _, limited = self._capable_by_limit(job, now)
        limits = [state.limit for state in limited]
        if waiter.limit not in limits:
            waiter.wait_for_permit(
                min(limits, key=lambda limit: limit.queue_s, default=None)
            )
        if waiter.limit is not None and waiter.limit.begin_request(now):
            self._exchange.start_now()

    def _request_adapter(self, job):
        self._shared_state.adapter_requests.add(
            messages.AdapterRequest(
                job.service.name,
                job.req.model,
                job.req.adapter,
                job.software_version,
            )
        )
        self._exchange.start_now()

    def _needs_adapter(self, job):
        if job.req.adapter is None:
            return False
        now = anyio.current_time()
        states = self._usable_servers(job, now)
        return any(s.can_serve(job.req.model, None, now) for s in states) and (
            not any(
                s.can_serve(job.req.model, job.req.adapter, now)
                for s in states
            )
        )

    def _is_list_outdated(self, now):
        max_age_s = self._cfg.server_drain_s * MAX_LIST_AGE_SHARE
        return self._servers.is_outdated(max_age_s, now)

    def _usable_servers(self, job, now):
        if self._is_list_outdated(now):
            return []
        health = self._servers.health
        return [
            state
            for state in self._servers.of_service(job.service.name)
            if state.accepts_requests
            and job.software_version in (None, state.server.software_version)
            and state.server.id not in job.tried
            and not health.is_unreachable(state.server.id, now)
        ]

    def _capable_servers(self, job, now):
        states = self._usable_servers(job, now)
        if job.is_plain:
            return states
        model, adapter = job.req.model, job.req.adapter
        return [s for s in states if s.can_serve(model, adapter, now)]

    def _capable_by_limit(self, job, now):
        """Return the capable servers without and those with a limit."""
        capable = self._capable_servers(job, now)
        return (
            [s for s in capable if s.limit.per_s is None],
            [s for s in capable if s.limit.per_s is not None],
        )

    def _decide(self, job, waiter):
        now = anyio.current_time()
        unlimited, limited = self._capable_by_limit(job, now)
        candidates, best = self._best_free(job, unlimited)
        if best is None:
            best = self._best_permitted(job, limited, now)
        if best is None:
            job.limited_servers = len(limited)
        ahead = self._wait_queues.ahead(
            job.service.name, job.req.model, job.priority, waiter
        )
        pool = admission.ServerPool(
            slots=sum(c.slots for c in candidates),
            load=sum(c.load for c in candidates),
            waiting_ahead=ahead,
            instances=max(1, self._exchange.instances),
            service_s=self._service_time_s(job),
            ready_in_s=(
                0.0 if unlimited or limited else self._ready_in_s(job, now)
            ),
            limited_per_s=self._limited_per_s(limited),
            limited_waiting=self._limited_waiting(limited),
        )
        decision = admission.decide(pool, best is not None, job.wait_left_s)
        return best, decision

    def _best_free(self, job, capable):
        """Return the candidates and the one to use, None if it is full.

        Args:
            job: The Job.
            capable: ServerState objects of the servers that can run it.

        Returns:
            The Candidate objects and a ServerState or None.
        """
        now = anyio.current_time()
        candidates = [self._candidate(state, now) for state in capable]
        best = server_choice.choose_server(
            candidates, self._cfg.zone, job.prefix_hash, random.random
        )
        if best is None or best.load >= admission.load_limit(
            job.priority,
            best.slots,
            job.route.latency_target_s,
            self._service_time_s(job),
        ):
            return candidates, None
        return candidates, next(s for s in capable if s.server.id == best.id)

    def _best_permitted(self, job, limited, now):
        """Return the best limited server that may get a request, or None."""
        instances = self._exchange.leaderless_instances
        permitted = [s for s in limited if s.limit.allows(instances, now)]
        return self._best_free(job, permitted)[1]

    def _limited_per_s(self, limited):
        instances = self._exchange.leaderless_instances
        return sum(s.limit.usable_per_s(instances) for s in limited)

    def _limited_waiting(self, limited):
        """Return how many requests of other instances the leader counted."""
        if self._exchange.leaderless_instances is not None:
            return 0
        return sum(s.limit.others_waiting for s in limited)

    def _candidate(self, state, now):
        server = state.server
        return server_choice.Candidate(
            id=server.id,
            zone=server.zone,
            slots=server.slots,
            load=state.load,
            failure_rate=self._servers.health.failure_rate(server.id, now),
        )

    def _ready_in_s(self, job, now):
        """Return the seconds until a server is able to run the request.

        Raises:
            ServingError: The service has no such model.
        """
        if self._is_list_outdated(now):
            return LIST_REFRESH_S
        usable = self._usable_servers(job, now)
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

    def _load_s(self, model, usable):
        times = [model.store_load_s]
        for state in usable:
            residency = state.residency
            if model.name in residency.in_memory:
                times.append(model.memory_load_s)
            elif model.name in residency.on_disk:
                times.append(model.disk_load_s)
        return min(times)

    def _refusal(self, job, decision):
        now = anyio.current_time()
        usable = self._usable_servers(job, now)
        unlimited, limited = self._capable_by_limit(job, now)
        if not usable:
            kind = kinds.ErrorKind.NO_BACKEND_SERVER
        elif not unlimited and not limited:
            kind = kinds.ErrorKind.MODEL_LOADING
        else:
            kind = kinds.ErrorKind.OVERLOADED
        slots = max(
            (state.server.slots for state in usable), default=DEFAULT_SLOTS
        )
        service_s = self._service_time_s(job)
        starts_per_s = slots / service_s
        if limited and not unlimited:
            starts_per_s = self._limited_per_s(limited)
        retries_per_s = starts_per_s / max(1, self._exchange.instances)
        retry_delay_s = self._retry_schedule.assign(
            job.demand_key, now + decision.retry_after_s, retries_per_s, now
        )
        return kinds.ServingError(
            kind,
            f'the predicted wait of {decision.wait_s:.2f} s exceeds what the '
            'deadline allows; retry after the time in Retry-After',
            retry_after_s=retry_delay_s,
        )

    def _service_time_s(self, job):
        default_s = (
            DEFAULT_PLAIN_SERVICE_S
            if job.is_plain
            else DEFAULT_ENGINE_SERVICE_S
        )
        return self._servers.service_time_s(job.service.name, default_s)


def _shutting_down_error():
    return kinds.ServingError(
        kinds.ErrorKind.SHUTTING_DOWN,
        'this instance is stopping and no server is free; retry at another '
        'instance',
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )
