"""Handles callers' requests: admission, attempts, retries and logging."""

import contextlib
import dataclasses
import logging

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway import ports
from wagtailtide_gateway.decisions import graceful_stop
from wagtailtide_gateway.decisions import retries
from wagtailtide_gateway.http import responder
from wagtailtide_gateway.model import deployment
from wagtailtide_gateway.serving import access
from wagtailtide_gateway.serving import attempt as attempts
from wagtailtide_gateway.serving import explanation
from wagtailtide_gateway.serving import finder
from wagtailtide_gateway.serving import forwarded_call
from wagtailtide_gateway.serving import relay as relays
from wagtailtide_gateway.serving import resumption
from wagtailtide_gateway.serving import server_call

LOG = logging.getLogger(__name__)

# Largest number of attempts of a request while no server has run it. Those
# that reach no server do not count.
MAX_SENDS = 4

# A started stream that no server takes over asks again after this time.
RESUME_RETRY_INTERVAL_S = 0.25

# Largest number of prompt segments in the line that ends a request.
MAX_LOGGED_PARTS = 8


class Gateway:
    """Serves requests from the state of the instance.

    Args:
        cfg: The Settings.
        caller_port: The CallerPort.
        backend_port: The BackendPort.
        shared_state: The SharedState of the instance.
        pool: ConnectionPool of the backend servers.
        exchange: Exchange with the leader.
        quarantine: The Quarantine of the instance.
        crash_detector: CrashDetector of the instance.
        metrics: The Metrics.
        origin_reader: OriginReader of the instance.
        process_check: ProcessCheck of the instance.
        recorder: CapacityRecorder, None if no capacity is learned.

    Attributes:
        explain: Function that explains what would become of a request.
    """

    def __init__(
        self,
        cfg,
        caller_port,
        backend_port,
        shared_state,
        pool,
        exchange,
        quarantine,
        crash_detector,
        metrics,
        origin_reader,
        process_check,
        recorder=None,
    ):
        self._process_check = process_check
        self._caller_port = caller_port
        self._backend_port = backend_port
        self._shared_state = shared_state
        self._memory = shared_state.engine_memory
        self._pool = pool
        self._exchange = exchange
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._instance = cfg.instance
        self._stop_s = cfg.stop_s
        self._metrics = metrics
        self._recorder = recorder
        self._access = access.Access(cfg, shared_state, exchange)
        self._finder = finder.Finder(
            cfg,
            shared_state,
            exchange,
            self._quarantine,
            lambda: self.is_stopping,
        )
        self._resumption = resumption.Resumption(
            shared_state, exchange, origin_reader
        )
        self._budget = retries.RetryBudget(
            cfg.retry_ratio,
            cfg.retry_slack,
            cfg.retry_window_s,
            anyio.current_time(),
        )
        self.explain = explanation.make_explain(
            cfg,
            shared_state,
            exchange,
            self._access,
            self._finder,
            self._refuse_if_stopping,
        )
        self._stopping_since = None
        self._is_cutting = False
        self._scopes = set()

    def note_free_since(self, at):
        """Record that no earlier process has run since a time in seconds."""
        self._budget.note_free_since(at)

    def begin_stop(self):
        """Begin to reject requests that would not finish before the stop."""
        self._stopping_since = anyio.current_time()
        self._shared_state.wait_queues.wake()

    def begin_cut(self):
        """End all requests, because the process is about to end.

        Those whose response has not started get an error response.
        """
        self._is_cutting = True
        for scope in self._scopes:
            scope.cancel()

    @property
    def is_stopping(self):
        """Whether the process is stopping."""
        return self._stopping_since is not None

    async def handle(self, request, out):
        """Handle one request and write its response.

        Args:
            request: The IncomingRequest.
            out: Its Responder.
        """
        req = job = reason = None
        outcome = 'gone'
        try:
            req = self._caller_port.decode(request)
            self._refuse_if_stopping()
            job = self._access.make_job(req, request.received_at)
            with self._limit_time(job) as scope:
                await self._serve(job, out)
            if scope.cancelled_caught:
                raise self._cut_error(job)
            outcome = 'whole'
        except kinds.ServingError as exc:
            error = _error_after_run(job, exc)
            outcome, reason = error.kind.value, error.message
            await self._refuse(error, out)
        except responder.CallerDisconnected:
            pass  # The caller disconnected; logged with the outcome gone.
        except Exception:
            # A bug must not end the other connections.
            LOG.exception(
                'unexpected error while handling a request',
                extra={'request': req and req.attempt_id},
            )
            reason = 'unexpected error'
            outcome = kinds.ErrorKind.INTERNAL.value
            await self._refuse(_internal_error(), out)
        finally:
            if job is not None:
                self._memory.withdraw_reservation(job)
            if outcome != 'whole' and self._is_cutting:
                outcome = 'cut'
            self._log(request, req, job, out, outcome, reason)

    def _refuse_if_stopping(self):
        since = self._stopping_since
        if since is None:
            return
        if anyio.current_time() - since > graceful_stop.ACCEPT_AFTER_S:
            raise _shutting_down_error()

    def _refuse_if_cut_soon(self, job):
        """Refuse a request that the end of this process would cut.

        Raises:
            ServingError: This instance is stopping and too little time is
                left.
        """
        since = self._stopping_since
        if since is None or job.has_response_started:
            return
        elapsed_s = anyio.current_time() - since
        service_s = self._shared_state.servers.service_time_s(
            job.service.name, 0.0
        )
        if not graceful_stop.can_finish(elapsed_s, self._stop_s, service_s):
            raise _shutting_down_error()

    @contextlib.contextmanager
    def _limit_time(self, job):
        """Cancel the block at the deadline, or when the stop cuts it."""
        with anyio.move_on_after(job.time_left_s) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def _cut_error(self, job):
        """Return the ServingError of a request that was cancelled."""
        if not self._is_cutting:
            return self._deadline_error(job)
        if job.possible_runs:
            return kinds.ServingError(
                kinds.ErrorKind.BACKEND_SERVER_SILENT,
                'this instance stopped before the response was complete; the '
                'request may have run',
            )
        return _shutting_down_error()

    def _deadline_error(self, job):
        if job.possible_runs:
            return kinds.ServingError(
                kinds.ErrorKind.BACKEND_SERVER_SILENT,
                'no complete response came before the deadline; the request '
                'may have run',
            )
        return kinds.ServingError(
            kinds.ErrorKind.DEADLINE_UNREACHABLE,
            'no server could run the request before the deadline; retry',
            retry_after_s=access.RETRY_ELSEWHERE_AFTER_S,
        )

    async def _refuse(self, exc, out):
        self._metrics.count_refusal(exc.kind)
        if out.state is not responder.ResponseState.UNSENT:
            # Close the connection, so that the caller sees that the response
            # is incomplete.
            out.abort()
            return
        # The outcome is logged even if the caller has disconnected.
        with contextlib.suppress(responder.CallerDisconnected):
            await out.respond(*self._caller_port.encode_error(exc))

    async def _serve(self, job, out):
        self._quarantine.check(job)
        await self._resumption.bind(job)
        await self._access.charge(job)
        now = anyio.current_time()
        self._budget.record_request(job.service.name, now)
        self._budget.record_instances(self._exchange.known_instances, now)
        if self._shared_state.scheduler is not None:
            self._shared_state.scheduler.record_arrival(job)
        if job.req.model is not None:
            self._shared_state.demand.record_arrival(
                *job.demand_key, job.route.latency_target_s
            )
        try:
            relay = relays.Relay(
                job,
                out,
                lambda: self._reserve_retry(job),
                self._resumption.record_begun,
                lambda since_s: self._record_events(job, since_s),
            )
            await self._run_with_retries(job, relay, out)
        finally:
            if not job.possible_runs:
                self._access.refund(job)

    async def _run_with_retries(self, job, relay, out):
        state = failure = None
        while True:
            if failure is not None:
                await self._require_retry(job, state, failure, relay)
            state = await self._finder.find(job)
            self._refuse_if_cut_soon(job)
            self._access.require_current_key(job)
            self._quarantine.admit(job)
            failure = await self._attempt(job, state, relay, out)
            if failure is None:
                return
            if failure.peer is None:
                await self._check_server(state, failure)
            if relay.started and job.route.kind is not (
                deployment.RouteKind.STREAM
            ):
                # A part of a large response cannot be continued elsewhere.
                raise kinds.ServingError(
                    kinds.ErrorKind.STREAM_BROKEN, failure.reason
                )
            if failure.head is not None and not self._may_retry(
                job, failure, relay
            ):
                await self._forward_failure(job, failure, relay, out)
                return

    async def _check_server(self, state, failure):
        if failure.unreachable:
            await self._crash_detector.check_unreachable(state, failure.reason)
        elif failure.broken:
            await self._crash_detector.check_broken(state)

    def _may_retry(self, job, failure, relay):
        if failure.not_run:
            return relay.started or job.send_count < MAX_SENDS
        return job.may_retry()

    def _reserve_retry(self, job):
        """Charge a retry if a server is free for it; return whether it is."""
        return self._finder.has_free_server(job) and self._charge_retry(job)

    def _charge_retry(self, job):
        """Charge a retry; return whether the budget allows it."""
        allowed = self._budget.try_spend(
            job.service.name,
            self._exchange.known_instances,
            anyio.current_time(),
        )
        self._metrics.repeats += allowed
        return allowed

    async def _require_retry(self, job, state, failure, relay):
        """Return when the request may be sent again.

        A started stream waits until the retry budget allows it. It may be
        sent again to a server that rejected it.

        Raises:
            ServingError: The request may not be retried.
        """
        is_charged, relay.has_reserved_retry = relay.has_reserved_retry, False
        if is_charged:
            return
        if failure.found_no_server and not relay.started:
            # No server got the request, and each is tried only once.
            return
        if relay.started and failure.not_run:
            await anyio.sleep(RESUME_RETRY_INTERVAL_S)
            if state.server.id in job.tried:
                job.tried.remove(state.server.id)
        while self._may_retry(job, failure, relay):
            if self._charge_retry(job):
                return
            if not relay.started:
                break
            await anyio.sleep(RESUME_RETRY_INTERVAL_S)
        if job.possible_runs:
            kind = kinds.ErrorKind.BACKEND_SERVER_ERROR
            if relay.started:
                kind = kinds.ErrorKind.STREAM_BROKEN
            raise kinds.ServingError(
                kind,
                f'the request failed and may have run: {failure.reason}',
            )
        raise kinds.ServingError(
            kinds.ErrorKind.OVERLOADED,
            f'no server accepted the request: {failure.reason}; retry',
            retry_after_s=access.RETRY_ELSEWHERE_AFTER_S,
        )

    async def _forward_failure(self, job, failure, relay, out):
        if relay.started:
            raise kinds.ServingError(
                kinds.ErrorKind.STREAM_BROKEN, failure.reason
            )
        await out.respond(
            failure.head.status, failure.head.headers, failure.body
        )

    async def _attempt(self, job, state, relay, out):
        """Send a request to a server.

        Returns:
            A Failure, or None if the caller has its response.
        """
        dispatch = self._make_dispatch(job, state, relay)
        call = self._make_call(job, state)
        attempt = attempts.Attempt(
            self._backend_port, call, job, state, dispatch
        )
        started_at = anyio.current_time()
        self._record_start(job, state)
        if self._recorder is not None:
            job.tracker = self._recorder.start(job, state, call.peer)
        failure = attempts.Failure(False, server_call.DEADLINE_PASSED)
        try:
            head = await attempt.open()
            if isinstance(head, attempts.Failure):
                failure = head
            elif job.route.kind is deployment.RouteKind.STREAM:
                reason = await relay.run(attempt, head)
                failure = reason and attempts.Failure(
                    False, reason, broken=True
                )
            else:
                failure = await self._forward_response(job, attempt, head, out)
            if failure and call.peer is not None:
                failure = dataclasses.replace(failure, peer=call.peer)
            return failure or None
        finally:
            self._record_end(job, state, failure, started_at)
            await attempt.close()

    def _make_call(self, job, state):
        """Return the ServerCall or ForwardedCall by which to send a request.

        Requests to a server that only other instances reach are forwarded by
        one of them.
        """
        servers = self._shared_state.servers
        directory = self._shared_state.peers
        server_id = state.server.id
        peer = None
        if servers.reachability.is_unreachable(server_id):
            peer = directory.choose(server_id, anyio.current_time())
        if peer is None:
            return server_call.ServerCall(
                self._backend_port,
                self._pool,
                state,
                servers.reachability,
                self._process_check,
                job.send_limit_at(),
            )
        job.peers.append(peer.instance)
        return forwarded_call.ForwardedCall(
            self._backend_port,
            self._pool,
            state,
            directory,
            peer,
            self._instance,
            job,
        )

    async def _forward_response(self, job, attempt, head, out):
        response = await attempt.read_response(head)
        if isinstance(response, attempts.Failure):
            return response
        job.first_byte_at = anyio.current_time()
        if not response.is_whole:
            return await attempt.pass_on(response, out)
        await out.respond(head.status, head.headers, response.body)
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

    def _record_start(self, job, state):
        job.tried.append(state.server.id)
        job.sends.append((state.server.id, state.server.software_version))
        job.send_count += 1
        # Until the outcome is known, the request may have run.
        job.possible_runs += 1
        state.own_load += 1
        job.held_tokens = self._memory.record_start(job, state)
        self._quarantine.record_started(job, state.server.id)
        if self._shared_state.scheduler is not None:
            self._shared_state.scheduler.record_start(job)
        if self._shared_state.class_shares is not None:
            self._shared_state.class_shares.loads.record_start(
                state, job.priority
            )
        if job.req.model is not None:
            self._shared_state.demand.record_start(*job.demand_key)

    def _record_events(self, job, since_s):
        server_id, _ = job.sends[-1]
        self._quarantine.record_events(job, server_id, since_s)

    def _record_end(self, job, state, failure, started_at):
        now = anyio.current_time()
        server_id = state.server.id
        if job.tracker is not None:
            job.tracker.end(now)
            job.tracker = None
        state.own_load -= 1
        queues = self._shared_state.wait_queues
        has_waiting = queues.has_waiting(job.service.name)
        if state.limit.record_end(state.own_load, has_waiting, now):
            self._exchange.start_now()
        self._memory.record_end(job, state, job.held_tokens)
        if job.req.model is not None:
            self._shared_state.demand.record_end(*job.demand_key)
        if self._shared_state.scheduler is not None:
            self._shared_state.scheduler.record_end(job, not failure)
        if self._shared_state.class_shares is not None:
            self._shared_state.class_shares.loads.record_end(
                state, job.priority
            )
        broken = bool(failure) and failure.broken
        self._quarantine.record_ended(job, server_id, now if broken else None)
        health = self._shared_state.servers.health
        if not failure:
            self._shared_state.servers.record_service_time(
                job.service.name, now - started_at
            )
            self._quarantine.record_completed(job)
            health.record_outcome(server_id, False, now)
        else:
            self._record_failure(job, state, failure, now)
        self._shared_state.wait_queues.wake(job.service.name)

    def _record_failure(self, job, state, failure, now):
        server_id = state.server.id
        if failure.not_run:
            job.possible_runs -= 1
        if failure.found_no_server:
            job.send_count -= 1
        if failure.unreachable and failure.peer is not None:
            # Another instance may reach the server.
            job.tried.remove(server_id)
        elif failure.misdirected:
            self._record_misdirected(job, state, now)
        elif failure.evacuated or (
            failure.not_run
            and (
                state.pauses(now) or failure.reason == server_call.BECAME_COLD
            )
        ):
            # It may be tried again after the pause, with a permit, or once
            # the zone is back.
            job.tried.remove(server_id)
        elif not failure.unreachable and (
            failure.reason != server_call.DEADLINE_PASSED
        ):
            self._shared_state.servers.health.record_outcome(
                server_id, True, now
            )
        LOG.info(
            'attempt failed',
            extra={
                'request': job.req.attempt_id,
                'server': server_id,
                'not_run': failure.not_run,
                'reason': failure.reason,
                'ran_on': job.possible_runs,
                'load': state.load,
                'peer': failure.peer,
            },
        )

    def _record_misdirected(self, job, state, now):
        """Record that a server does not have the model or adapter.

        The server may be tried again, because it may load them meanwhile.
        """
        if job.req.model is not None:
            state.note_unavailable(job.req.model, job.req.adapter, now)
            job.tried.remove(state.server.id)

    def _log(self, request, req, job, out, outcome, reason):
        now = anyio.current_time()
        total_s = now - request.received_at
        self._metrics.observe(job, outcome, total_s)
        if job is not None and outcome == kinds.ErrorKind.OVERLOADED.value:
            self._metrics.count_memory_refusal(job.memory_exclusions)
        fields = {
            'outcome': outcome,
            'state': out.state.value,
            'total_ms': round(total_s * 1000),
        }
        if req is not None:
            fields['request'] = req.attempt_id
        if out.state is responder.ResponseState.ABORTED:
            # The caller only sees that its connection was closed.
            fields['reason'] = reason
        elif outcome == 'gone':
            fields['reason'] = out.disconnect_reason
        if job is not None:
            fields.update(
                route=job.route.name,
                model=job.req.model,
                adapter=job.req.adapter,
                servers=','.join(server for server, _ in job.sends),
                peers=','.join(job.peers),
                software_versions=','.join(v for _, v in job.sends),
                resumes=job.req.resumes,
                ran_on=job.possible_runs,
                organisation=job.organisation and job.organisation.name,
                cost=job.cost,
                tokens=job.req.tokens,
                parts=','.join(job.req.shared_parts[:MAX_LOGGED_PARTS]),
                waited_ms=round(job.waited_s * 1000),
                limited=job.limited_servers,
                memory_full=job.memory_exclusions.full,
                memory_deferred=job.memory_exclusions.deferred,
                reservation=job.reservation,
                config=self._shared_state.config.version,
                config_age_ms=round(self._shared_state.config.age_s * 1000),
            )
            if job.first_byte_at is not None:
                first_byte_s = job.first_byte_at - request.received_at
                fields['first_ms'] = round(first_byte_s * 1000)
            if job.stream_end is not None:
                fields.update(
                    framing=job.stream_end.framing.value,
                    events=job.stream_end.events,
                    partial_bytes=job.stream_end.partial_bytes,
                )
        LOG.info('request', extra=fields)


def _error_after_run(job, exc):
    """Return the ServingError of a request that a server may have run.

    A retry may be refused, but the request is not one that was not run.
    """
    if job is None or not job.possible_runs:
        return exc
    if exc.fate is not kinds.Fate.NOT_RUN:
        return exc
    return kinds.ServingError(
        kinds.ErrorKind.BACKEND_SERVER_ERROR,
        'the request failed, may have run and could not be retried: '
        f'{exc.message}',
    )


def _shutting_down_error():
    return kinds.ServingError(
        kinds.ErrorKind.SHUTTING_DOWN,
        'this instance is stopping; retry at another instance',
        retry_after_s=finder.STOPPING_RETRY_AFTER_S,
    )


def _internal_error():
    return kinds.ServingError(
        kinds.ErrorKind.INTERNAL,
        'unexpected error in the gateway; see its log',
    )
