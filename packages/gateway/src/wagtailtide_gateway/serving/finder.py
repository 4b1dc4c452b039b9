"""Selects a backend server for a request, queues it or rejects it."""

import dataclasses

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.control import messages
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import retry_schedule
from wagtailtide_gateway.serving import availability

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


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """What would become of a request that arrives now.

    Attributes:
        state: ServerState of the server that it would be sent to, or None.
        decision: The Decision, None if it would be rejected before one.
        error: ServingError that it would be rejected with, or None.
        pool: ServerPool behind the decision, or None.
    """

    state: object | None
    decision: admission.Decision | None
    error: kinds.ServingError | None
    pool: admission.ServerPool | None


class Finder:
    """Applies admission to the state of this instance."""

    def __init__(self, cfg, shared_state, exchange, quarantine, stopping):
        self._quarantine = quarantine
        self._stopping = stopping
        self._servers = shared_state.servers
        self._wait_queues = shared_state.wait_queues
        self._demand = shared_state.demand
        self._shared_state = shared_state
        self._memory = shared_state.engine_memory
        self._exchange = exchange
        self._availability = availability.Availability(
            cfg,
            shared_state.servers,
            shared_state.peers,
            exchange,
            self._memory,
            shared_state.class_shares,
        )
        self._retry_schedule = retry_schedule.RetrySchedule()
        self._scheduler = shared_state.scheduler

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
        self._memory.require_possible(job)
        waiter, started_at = None, anyio.current_time()
        wait_timeout_at = None
        is_sent = False
        try:
            while True:
                self._quarantine.check(job)
                self._require_server_of_version(job)
                state, decision = self._decide(job, waiter)
                now = anyio.current_time()
                if decision.verdict is admission.Verdict.SEND:
                    state.limit.record_request(now)
                    is_sent = True
                    return state
                is_overdue = wait_timeout_at is not None and (
                    now > wait_timeout_at
                )
                if not job.has_response_started and (
                    is_overdue or self._is_refused(decision)
                ):
                    raise self._refusal(
                        job, decision, self._retry_schedule.assign
                    )
                if waiter is None:
                    waiter = self._join_queue(job, decision)
                    timeout_s = WAIT_TIMEOUT_FACTOR * decision.wait_s
                    wait_timeout_at = now + timeout_s + WAIT_TIMEOUT_EXTRA_S
                await self._wait(job, waiter)
        finally:
            if not is_sent:
                self._memory.withdraw_reservation(job)
            if waiter is not None:
                self._wait_queues.remove(job.service.name, waiter)
                waiter.wait_for_permit(None)
                if self._scheduler is not None:
                    self._scheduler.record_leave(job)
                job.waited_s += anyio.current_time() - started_at
                if job.req.model is not None:
                    self._demand.record_wait_end(*job.demand_key)

    def preview(self, job):
        """Return the Preview of a request that arrives now.

        It decides as `find` does, but counts, queues and logs nothing.
        """
        state = decision = pool = error = None
        self._memory.skip_demand(job)
        try:
            self._memory.require_possible(job)
            error = self._quarantine.find_error(job)
            if error is None:
                state, pool = self._assess(job, None, is_preview=True)
        except kinds.ServingError as exc:
            error = exc
        if error is None:
            decision = _decision(job, state, pool)
            if self._is_refused(decision):
                error = self._refusal(
                    job, decision, self._retry_schedule.predict
                )
        return Preview(state, decision, error, pool)

    def _is_refused(self, decision):
        """Return whether a request whose response has not begun is refused.

        While this instance stops, none starts to wait.
        """
        return decision.verdict is admission.Verdict.REFUSE or (
            self._stopping() and decision.verdict is admission.Verdict.WAIT
        )

    def has_free_server(self, job):
        """Return whether a server that was not tried could run a request."""
        now = anyio.current_time()
        unlimited, limited = self._availability.capable_by_limit(job, now)
        return (
            self._availability.best_free(job, unlimited, reserves=False)[1]
            is not None
            or self._availability.best_permitted(
                job, limited, now, reserves=False
            )
            is not None
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
            state.server.software_version == version
            and not state.leaves
            and not state.is_evacuated
            for state in self._servers.of_service(job.service.name)
        ):
            raise kinds.ServingError(
                kinds.ErrorKind.STREAM_BROKEN
                if job.has_response_started
                else kinds.ErrorKind.NO_BACKEND_SERVER,
                f'no server of software version {version}, which began the '
                'stream, is left',
            )
        if not self._availability.capable(job, anyio.current_time()):
            job.tried.clear()

    def _join_queue(self, job, decision):
        if job.req.model is not None:
            self._demand.record_wait(*job.demand_key)
            self._exchange.start_now()
        if self._scheduler is not None:
            return self._scheduler.join(
                job, decision.wait_s, self._exchange.instances
            )
        return self._wait_queues.add(
            job.service.name, job.req.model, job.priority
        )

    async def _wait(self, job, waiter):
        recheck_s = RECHECK_INTERVAL_S
        if self._availability.needs_adapter(job):
            self._request_adapter(job)
            recheck_s = ADAPTER_RECHECK_INTERVAL_S
        self._request_permit(job, waiter)
        if self._memory.awaits_reservation(job):
            self._exchange.start_now()
        await waiter.wait(max(0.0, min(recheck_s, job.wait_left_s)))

    def _request_permit(self, job, waiter):
        """Request a permit of the limited server with the shortest queue."""
        now = anyio.current_time()
        _, limited = self._availability.capable_by_limit(job, now)
        if waiter.limit not in [state.limit for state in limited]:
            shortest = min(
                limited,
                key=lambda state: state.limit.queue_order(
                    now, state.server.slots - state.load
                ),
                default=None,
            )
            waiter.wait_for_permit(shortest and shortest.limit)
        if waiter.limit is not None and waiter.limit.start_permit_request(now):
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

    def _decide(self, job, waiter):
        state, pool = self._assess(job, waiter)
        return state, _decision(job, state, pool)

    def _assess(self, job, waiter, is_preview=False):
        """Return the server that a request may use now, and its ServerPool.

        Args:
            job: The Job.
            waiter: Its waiter, None if it is not queued.
            is_preview: Whether no other request is to be woken, and no engine
                memory to be reserved.

        Returns:
            A ServerState or None, and the ServerPool.
        """
        now = anyio.current_time()
        unlimited, limited = self._availability.capable_by_limit(job, now)
        reserves = not is_preview
        candidates, best = self._availability.best_free(
            job, unlimited, reserves
        )
        if best is None and not self._memory.awaits_reservation(job):
            best = self._availability.best_permitted(
                job, limited, now, reserves
            )
        if best is None:
            job.limited_servers = len(limited)
        if self._scheduler is not None:
            ahead = self._scheduler.ahead(job, waiter)
        else:
            ahead = self._wait_queues.ahead(
                job.service.name, job.req.model, job.priority, waiter
            )
        pool = admission.ServerPool(
            slots=sum(c.slots / c.slowdown for c in candidates),
            load=sum(c.load for c in candidates),
            waiting_ahead=ahead,
            instances=max(1, self._exchange.instances),
            service_s=self._availability.service_time_s(job),
            ready_in_s=(
                0.0
                if unlimited or limited
                else self._availability.ready_in_s(job, now)
            ),
            limited_per_s=self._availability.limited_per_s(limited, now),
            limited_waiting=self._availability.limited_waiting(limited),
        )
        pool = self._availability.class_pool(job, pool, candidates)
        if limited and not unlimited:
            pool = admission.with_other_server(
                pool, self._availability.other_server_in_s(job)
            )
        if self._scheduler is not None:
            take = self._scheduler.peek if is_preview else self._scheduler.take
            best = take(job, waiter, best)
            pool = self._scheduler.with_others(pool, job)
        return best, pool

    def _refusal(self, job, decision, schedule):
        """Return the ServingError of a request that is refused.

        Args:
            job: The Job.
            decision: Its Decision.
            schedule: Function of the RetrySchedule that gives Retry-After.
        """
        if self._stopping():
            return _shutting_down_error()
        now = anyio.current_time()
        usable = self._availability.usable(job, now)
        unlimited, limited = self._availability.capable_by_limit(job, now)
        if self._availability.pause_s(job, now) is not None:
            kind = kinds.ErrorKind.OVERLOADED
        elif not usable:
            kind = kinds.ErrorKind.NO_BACKEND_SERVER
        elif not unlimited and not limited:
            kind = kinds.ErrorKind.MODEL_LOADING
        else:
            kind = kinds.ErrorKind.OVERLOADED
        retries_per_s = self._availability.retries_per_s(job, now)
        retry_delay_s = schedule(
            job.demand_key, now + decision.retry_after_s, retries_per_s, now
        )
        return kinds.ServingError(
            kind,
            f'the predicted wait of {decision.wait_s:.2f} s exceeds what the '
            'deadline allows; retry after the time in Retry-After',
            retry_after_s=retry_delay_s,
        )


def _decision(job, state, pool):
    return admission.decide(pool, state is not None, job.wait_left_s)


def _shutting_down_error():
    return kinds.ServingError(
        kinds.ErrorKind.SHUTTING_DOWN,
        'this instance is stopping and no server is free; retry at another '
        'instance',
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )
