"""Serves the requests of callers."""

import contextlib
import logging

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes

from wagtailtide_gateway import ports
from wagtailtide_gateway.decisions import retries
from wagtailtide_gateway.http import incoming
from wagtailtide_gateway.model import deployment
from wagtailtide_gateway.serving import access
from wagtailtide_gateway.serving import attempt as attempts
from wagtailtide_gateway.serving import finder
from wagtailtide_gateway.serving import relay as relays

LOG = logging.getLogger(__name__)

# Servers that a request may reach although the former ones did not run it.
MAX_ARRIVALS = 4

# Requests that come this long after the request to stop are refused, because
# they might not end before the process is killed.
ACCEPT_AFTER_STOP_S = 2.8


class Gateway:
    """Serves requests with what the instance knows."""

    def __init__(
        self, cfg, caller_port, backend_port, parts, pool, exchange, metrics
    ):
        self._callers = caller_port
        self._backends = backend_port
        self._parts = parts
        self._pool = pool
        self._exchange = exchange
        self._metrics = metrics
        self._access = access.Access(cfg, parts, exchange)
        self._finder = finder.Finder(
            cfg, parts, exchange, lambda: self.is_stopping
        )
        self._budget = retries.SharedBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
        )
        self._stopping_since = None

    def begin_stop(self):
        """Refuse requests that come too late to be finished."""
        self._stopping_since = anyio.current_time()
        self._parts.room.wake()

    @property
    def is_stopping(self):
        """Whether the process has been told to stop."""
        return self._stopping_since is not None

    async def handle(self, request, out):
        """Answer one request.

        Args:
            request: The Incoming request.
            out: Its Responder.
        """
        job = None
        outcome = 'gone'
        try:
            req = self._callers.decode(request)
            self._check_stopping()
            job = self._access.make_job(req, request.received_at)
            with anyio.move_on_after(job.time_left_s) as scope:
                await self._serve(job, out)
            if scope.cancelled_caught:
                raise self._too_late(job)
            outcome = 'whole'
        except kinds.ServingError as exc:
            outcome = exc.kind.value
            await self._refuse(exc, out)
        except incoming.CallerGone:
            pass  # Logged as gone; nobody is left to be answered.
        except Exception:
            # A fault of the gateway must not end the other connections.
            LOG.exception('request failed by a fault of the gateway')
            outcome = kinds.ErrorKind.INTERNAL.value
            await self._refuse(_internal_error(), out)
        finally:
            self._log(request, job, out, outcome)

    def _check_stopping(self):
        since = self._stopping_since
        if since is None:
            return
        if anyio.current_time() - since > ACCEPT_AFTER_STOP_S:
            raise kinds.ServingError(
                kinds.ErrorKind.SHUTTING_DOWN,
                'this instance stops; come back to another one',
                retry_after_s=finder.ELSEWHERE_S,
            )

    def _too_late(self, job):
        if job.ran_on:
            return kinds.ServingError(
                kinds.ErrorKind.BACKEND_SERVER_SILENT,
                'no whole answer came before the deadline',
            )
        return kinds.ServingError(
            kinds.ErrorKind.DEADLINE_UNREACHABLE,
            'no server could run the request before the deadline',
            retry_after_s=access.ELSEWHERE_S,
        )

    async def _refuse(self, exc, out):
        self._metrics.count_refusal(exc.kind)
        if out.state is not incoming.State.UNSENT:
            # A broken stream must not look complete.
            out.abort()
            return
        # The outcome is logged, whether or not anybody is left to read it.
        with contextlib.suppress(incoming.CallerGone):
            await out.answer(*self._callers.refusal(exc))

    async def _serve(self, job, out):
        self._check_crasher(job)
        await self._access.charge(job)
        now = anyio.current_time()
        self._budget.record_request(job.service.name, now)
        if job.req.model is not None:
            self._parts.demand.arrived(*job.key, job.route.latency_target_s)
        try:
            await self._run_until_answered(job, relays.Relay(job, out), out)
        finally:
            if not job.ran_on:
                self._access.refund(job)

    def _check_crasher(self, job):
        now = anyio.current_time()
        verdict = self._parts.crashes.verdict(job.fingerprint, now)
        if verdict is crashes.Verdict.REFUSED:
            raise kinds.ServingError(
                kinds.ErrorKind.REQUEST_QUARANTINED,
                'the servers that ran this request crashed; do not repeat it',
            )

    async def _run_until_answered(self, job, relay, out):
        failed = None
        while True:
            if failed is not None:
                self._require_repeat(job, failed, relay)
            state = await self._finder.find(job)
            self._access.require_current_key(job)
            failed = await self._attempt(job, state, relay, out)
            if failed is None:
                return
            if failed.broken:
                await self._look_for_crash(state)
            if failed.head is not None and not self._may_repeat(job, failed):
                await self._pass_on(job, failed, relay, out)
                return

    async def _look_for_crash(self, state):
        """Find out at once whether a server whose connection broke is gone.

        A server that fails is chosen less, so that no later request may show
        that it crashed and which requests were in it.
        """
        if await self._pool.refuses(state.server.address):
            self._note_unreachable(state, anyio.current_time())

    def _may_repeat(self, job, failed):
        if failed.not_run:
            return job.arrivals < MAX_ARRIVALS
        return job.may_run_again()

    def _require_repeat(self, job, failed, relay):
        """Raise ServingError unless the request may go to another server."""
        if self._may_repeat(job, failed) and self._budget.try_spend(
            job.service.name,
            self._exchange.instances,
            anyio.current_time(),
        ):
            self._metrics.repeats += 1
            return
        if job.ran_on:
            kind = kinds.ErrorKind.BACKEND_SERVER_ERROR
            if relay.started:
                kind = kinds.ErrorKind.STREAM_BROKEN
            raise kinds.ServingError(
                kind, f'the request may have run: {failed.reason}'
            )
        raise kinds.ServingError(
            kinds.ErrorKind.OVERLOADED,
            f'no server took the request: {failed.reason}; come back',
            retry_after_s=access.ELSEWHERE_S,
        )

    async def _pass_on(self, job, failed, relay, out):
        if relay.started:
            raise kinds.ServingError(
                kinds.ErrorKind.STREAM_BROKEN, failed.reason
            )
        await out.answer(failed.head.status, failed.head.headers, failed.body)

    async def _attempt(self, job, state, relay, out):
        """Send a request to a server; return Failed, None if answered."""
        dispatch = self._make_dispatch(job, state, relay)
        attempt = attempts.Attempt(
            self._backends, self._pool, job, state, dispatch
        )
        started_at = anyio.current_time()
        self._begin(job, state)
        failed = attempts.Failed(False, 'caller left')
        try:
            head = await attempt.open()
            if isinstance(head, attempts.Failed):
                failed = head
            elif job.route.kind is deployment.RouteKind.STREAM:
                reason = await relay.run(attempt, head)
                failed = reason and attempts.Failed(False, reason, broken=True)
            else:
                failed = await self._deliver(job, attempt, head, out)
            return failed or None
        finally:
            self._end(job, state, failed, started_at)
            await attempt.close()

    async def _deliver(self, job, attempt, head, out):
        answer = await attempt.read_whole(head)
        if isinstance(answer, attempts.Failed):
            return answer
        job.first_at = anyio.current_time()
        await out.answer(head.status, head.headers, answer.body)
        return None

    def _make_dispatch(self, job, state, relay):
        return ports.Dispatch(
            server_id=state.server.id,
            organisation=job.organisation.name if job.organisation else None,
            time_left_s=max(0.001, job.time_left_s),
            urgency=min(job.priority, 9),
            resume_after=relay.resume_after,
            weights_version=relay.weights_version,
        )

    def _begin(self, job, state):
        job.tried.append(state.server.id)
        job.arrivals += 1
        # Until the outcome is known the request may run.
        job.ran_on += 1
        state.own_load += 1
        self._parts.crashes.record_started(job.fingerprint, state.server.id)
        if job.req.model is not None:
            self._parts.demand.started(*job.key)

    def _end(self, job, state, failed, started_at):
        now = anyio.current_time()
        server_id = state.server.id
        state.own_load -= 1
        if job.req.model is not None:
            self._parts.demand.ended(*job.key)
        broken = bool(failed) and failed.broken
        self._parts.crashes.record_ended(
            job.fingerprint, server_id, now if broken else None
        )
        health = self._parts.servers.health
        if not failed:
            self._parts.servers.record_service_time(
                job.service.name, now - started_at
            )
            self._parts.crashes.record_completed(job.fingerprint)
            health.record(server_id, False, now)
        else:
            self._note_failure(job, state, failed, now)
        self._parts.room.wake(job.service.name)

    def _note_failure(self, job, state, failed, now):
        server_id = state.server.id
        if failed.not_run:
            job.ran_on -= 1
        if failed.unreachable:
            self._note_unreachable(state, now)
        elif failed.lacks:
            self._note_lacks(job, state, now)
        elif failed.reason != 'caller left':
            self._parts.servers.health.record(server_id, True, now)
        LOG.info(
            'attempt failed',
            extra={
                'request': job.req.attempt_id,
                'server': server_id,
                'not_run': failed.not_run,
                'reason': failed.reason,
                'ran_on': job.ran_on,
                'load': state.load,
            },
        )

    def _note_unreachable(self, state, now):
        server_id = state.server.id
        self._parts.servers.health.record_unreachable(server_id, now)
        count = self._parts.note_crash(
            server_id, state.server.residency.born_ms
        )
        LOG.info(
            'server takes no connection',
            extra={'server': server_id, 'suspects': count},
        )

    def _note_lacks(self, job, state, now):
        """Note what a server lacks; one that lacks a model may get it."""
        if job.req.model is not None:
            state.note_lacks(job.req.model, job.req.adapter, now)
            job.tried.remove(state.server.id)

    def _log(self, request, job, out, outcome):
        now = anyio.current_time()
        total_s = now - request.received_at
        self._metrics.observe(job, outcome, total_s)
        fields = {
            'outcome': outcome,
            'state': out.state.value,
            'total_ms': round(total_s * 1000),
        }
        if job is not None:
            fields.update(
                request=job.req.attempt_id,
                route=job.route.name,
                model=job.req.model,
                adapter=job.req.adapter,
                servers=','.join(job.tried),
                ran_on=job.ran_on,
                organisation=job.organisation and job.organisation.name,
                cost=job.cost,
                waited_ms=round(job.waited_s * 1000),
                config=self._parts.config.version,
                config_age_ms=round(self._parts.config.age_s * 1000),
            )
            if job.first_at is not None:
                first_s = job.first_at - request.received_at
                fields['first_ms'] = round(first_s * 1000)
        LOG.info('request', extra=fields)


def _internal_error():
    return kinds.ServingError(
        kinds.ErrorKind.INTERNAL, 'the gateway failed; see its log'
    )
