"""Calls to plain services, which serve no models."""

from collections.abc import Callable
import dataclasses

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.retries import fate
from wagtailtide_core.routing import choose

from wagtailtide_server.upstream import calls
from wagtailtide_server.upstream import client
from wagtailtide_server.upstream import error_mapping
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import headers

# While a call is unanswered, its server is probed on a new connection at this
# interval.
PROBE_INTERVAL_S = 2.0
MAX_ATTEMPTS = 6
RETRYABLE_STATUSES = frozenset({502, 503, 504})


@dataclasses.dataclass(frozen=True)
class PlainCall:
    """A request that is passed through to a plain service.

    Attributes:
        call: Data shared by all attempts.
        method: HTTP method.
        target: Path with query, as received.
        caller_headers: The caller's headers.
        body: Body as received.
        idempotent: Whether it may run twice.
        on_attempt_start: Called before each attempt; may raise to prevent it.
        on_attempt_not_run: Called after an attempt that is known not to have
            run.
    """

    call: calls.Call
    method: str
    target: bytes
    caller_headers: list[tuple[bytes, bytes]]
    body: bytes
    idempotent: bool
    on_attempt_start: Callable[[], None] = lambda: None
    on_attempt_not_run: Callable[[], None] = lambda: None


@dataclasses.dataclass(frozen=True)
class PlainResponse:
    """A complete response of a plain service."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class PlainCallRunner:
    """Runs one call on the plain servers of its group."""

    def __init__(self, dispatcher, plain_call, metrics):
        self._dispatcher = dispatcher
        self._plain_call = plain_call
        self._metrics = metrics
        self._tried = set()
        self._attempts = 0

    async def run(self):
        """Return the PlainResponse.

        Raises:
            ServingError: If no attempt gave one.
        """
        call = self._plain_call.call
        while True:
            error_mapping.check_quarantine(self._dispatcher, call)
            name = self._choose()
            try:
                result = await self._attempt_with_probe(name)
            except failures.AttemptError as exc:
                self._tried.add(name)
                if exc.kind is failures.FailureKind.BROKEN:
                    await self._dispatcher.confirm_crash(name)
                self._handle_failure(exc)
                continue
            if self._should_retry(result):
                self._tried.add(name)
                self._metrics.retries.labels('retry').inc()
                continue
            self._dispatcher.record_completed(call)
            return result

    def _choose(self):
        call = self._plain_call.call
        chosen = self._dispatcher.choose(call, self._tried)
        if isinstance(chosen, choose.NoServer) and self._tried:
            chosen = self._dispatcher.choose(call)
        if isinstance(chosen, choose.Choice):
            return chosen.server
        reasons = sorted({e.reason.value for e in chosen.excluded})
        raise kinds.ServingError(
            kinds.ErrorKind.NO_BACKEND_SERVER,
            f'no backend server of group {call.route.group} can take the '
            f'request ({", ".join(reasons) or "none declared"}); '
            'send it again later',
            fate=call.history.fate,
        )

    def _should_retry(self, result):
        self._attempts += 1
        return (
            self._plain_call.idempotent
            and result.status in RETRYABLE_STATUSES
            and self._attempts < MAX_ATTEMPTS
            and self._dispatcher.retry_budget.try_spend()
        )

    def _handle_failure(self, exc):
        """Return if another attempt follows a failed one, else raise.

        Raises:
            ServingError: If the request must not be attempted again.
        """
        self._attempts += 1
        if exc.kind is failures.FailureKind.KEY_WITHDRAWN:
            raise error_mapping.key_withdrawn_error(
                self._plain_call.call.history.fate
            )
        may_retry = fate.may_attempt_again(
            exc.fate, self._plain_call.idempotent
        )
        if may_retry and self._attempts < MAX_ATTEMPTS:
            # A draining server did no work for the request, so the next
            # attempt does not count against the budget.
            if exc.error_kind == 'draining':
                self._metrics.retries.labels('moved').inc()
                return
            if self._dispatcher.retry_budget.try_spend():
                self._metrics.retries.labels('retry').inc()
                return
        known_fate = self._plain_call.call.history.fate
        if not may_retry and known_fate is not kinds.Fate.NOT_RUN:
            raise kinds.ServingError(
                kinds.ErrorKind.OUTCOME_UNKNOWN,
                f'the backend server failed ({exc.detail}) and the call may '
                'have taken effect; look up its effect before sending it '
                'again',
            )
        raise error_mapping.error_for_caller(exc, known_fate)

    async def _attempt_with_probe(self, name):
        """Make an attempt and probe its server while it is unanswered.

        The first result is used. A call whose server fails the probe fails;
        an idempotent call whose server answers the probe is sent again on a
        new connection (hedged).
        """
        results = []
        pending = 0

        async def attempt(group):
            nonlocal pending
            pending += 1
            try:
                results.append(await self._attempt(name))
            except failures.AttemptError as exc:
                results.append(exc)
            pending -= 1
            if pending == 0 or isinstance(results[-1], PlainResponse):
                group.cancel_scope.cancel()

        async def probe_then_hedge(group):
            failure = await self._wait_for_probe_failure(name)
            if failure is not None:
                results.append(failure)
                group.cancel_scope.cancel()
            else:
                self._metrics.retries.labels('hedge').inc()
                group.start_soon(attempt, group)

        async with anyio.create_task_group() as group:
            group.start_soon(attempt, group)
            group.start_soon(probe_then_hedge, group)
        if isinstance(results[-1], failures.AttemptError):
            raise results[-1]
        return results[-1]

    async def _wait_for_probe_failure(self, name):
        """Probe the server until the call must fail or be hedged.

        Returns:
            An AttemptError if the call must fail, None if it must be hedged.
        """
        # Read now: the document may stop declaring the server during the
        # call.
        address = self._dispatcher.table.servers[name].declared.address
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            exc = await self._probe(address)
            if exc is None and self._plain_call.idempotent:
                return None
            # A non-idempotent call on a slow server may still be answered;
            # cancelling it would lose its outcome.
            refused = failures.FailureKind.CONNECTION_REFUSED
            if exc is not None and (
                self._plain_call.idempotent or exc.kind is refused
            ):
                return failures.AttemptError(
                    failures.FailureKind.SILENT,
                    kinds.Fate.UNKNOWN,
                    'expected a response, got none and the probe failed: '
                    f'{exc.detail}',
                )

    async def _probe(self, address):
        try:
            await self._dispatcher.client.probe(address)
        except failures.AttemptError as exc:
            return exc
        return None

    async def _attempt(self, name):
        request_id = calls.make_request_id()
        plain = self._plain_call
        if not plain.call.key_is_current():
            raise failures.AttemptError(
                failures.FailureKind.KEY_WITHDRAWN,
                kinds.Fate.NOT_RUN,
                'the key was withdrawn',
            )
        state = self._dispatcher.table.servers.get(name)
        if state is None or state.stopping:
            # This became known after the server was chosen, or before the
            # hedged attempt.
            raise failures.AttemptError(
                failures.FailureKind.REFUSED,
                kinds.Fate.NOT_RUN,
                'the backend server is being stopped',
                error_kind='draining',
            )
        attempt = client.Attempt(
            address=state.declared.address,
            method=plain.method,
            target=plain.target,
            headers=headers.for_backend_server(
                plain.caller_headers, request_id, plain.call.secrets
            ),
            body=plain.body,
            request_id=request_id,
            new_connection=not plain.idempotent or self._attempts > 0,
        )
        if not plain.idempotent:
            self._dispatcher.check_not_run_before(plain.call)
        plain.on_attempt_start()
        try:
            return await self._exchange(name, attempt)
        finally:
            # Runs also if the deadline cancels the attempt before anything was
            # sent.
            if not plain.call.history.may_have_run:
                plain.on_attempt_not_run()

    async def _exchange(self, name, attempt):
        call = self._plain_call.call
        async with self._dispatcher.open(name, call, attempt) as response:
            body = await response.read_body()
            self._dispatcher.check_response(attempt, response, len(body))
            if response.status >= 400:
                error = client.error_from_response(response.status, body)
                if error.fate is kinds.Fate.NOT_RUN:
                    raise error
            return PlainResponse(response.status, response.headers, body)
