"""Calls to plain services."""

from collections.abc import Callable
import dataclasses

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.retries import fate
from wagtailtide_core.routing import choose

from wagtailtide_server.upstream import calls
from wagtailtide_server.upstream import client
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import headers
from wagtailtide_server.upstream import verdicts

# A call that has not been answered for this long is checked on with a probe
# on a new connection.
PROBE_AFTER_S = 2.0
ATTEMPT_LIMIT = 6
RETRIED_STATUSES = frozenset({502, 503, 504})


@dataclasses.dataclass(frozen=True)
class PlainCall:
    """A request that is passed through.

    Attributes:
        call: What all attempts have in common.
        method: HTTP method.
        target: Path with query, as received.
        received: The caller's headers.
        body: Body as received.
        idempotent: Whether it may run twice.
        begin_attempt: Called before each attempt; raises to stop it.
        attempt_not_run: Called after an attempt that certainly did not run.
    """

    call: calls.Call
    method: str
    target: bytes
    received: list[tuple[bytes, bytes]]
    body: bytes
    idempotent: bool
    begin_attempt: Callable[[], None] = lambda: None
    attempt_not_run: Callable[[], None] = lambda: None


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """A whole response of a plain service."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class PlainRequest:
    """Run one call on the plain servers of its group."""

    def __init__(self, dispatcher, plain_call, metrics):
        self._dispatcher = dispatcher
        self._plain_call = plain_call
        self._metrics = metrics
        self._tried = set()
        self._attempts = 0

    async def run(self):
        """Return the PlainAnswer.

        Raises:
            ServingError: If there is none.
        """
        call = self._plain_call.call
        while True:
            verdicts.check_quarantine(self._dispatcher, call)
            name = self._choose()
            try:
                answer = await self._attempt_with_probe(name)
            except failures.AttemptError as exc:
                self._tried.add(name)
                if exc.kind is failures.FailureKind.BROKEN:
                    await self._dispatcher.confirm_break(name)
                self._decide(exc)
                continue
            if self._is_retried(answer):
                self._tried.add(name)
                self._metrics.retries.labels('retry').inc()
                continue
            self._dispatcher.record_completed(call)
            return answer

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

    def _is_retried(self, answer):
        self._attempts += 1
        return (
            self._plain_call.idempotent
            and answer.status in RETRIED_STATUSES
            and self._attempts < ATTEMPT_LIMIT
            and self._dispatcher.budget.try_spend()
        )

    def _decide(self, exc):
        """Return if the request goes on after a failure, else raise."""
        self._attempts += 1
        if exc.kind is failures.FailureKind.KEY_WITHDRAWN:
            raise verdicts.key_withdrawn(self._plain_call.call.history.fate)
        again = fate.may_attempt_again(exc.fate, self._plain_call.idempotent)
        if again and self._attempts < ATTEMPT_LIMIT:
            # Moving off a draining server repeats no work of the fleet.
            if exc.refusal == 'draining':
                self._metrics.retries.labels('moved').inc()
                return
            if self._dispatcher.budget.try_spend():
                self._metrics.retries.labels('retry').inc()
                return
        known = self._plain_call.call.history.fate
        if not again and known is not kinds.Fate.NOT_RUN:
            raise kinds.ServingError(
                kinds.ErrorKind.OUTCOME_UNKNOWN,
                f'the backend server failed ({exc.detail}) and the call may '
                'have taken effect; look up its effect before sending it '
                'again',
            )
        raise verdicts.error_of_failure(exc, known)

    async def _attempt_with_probe(self, name):
        """Make an attempt and check on a silent one.

        The first result wins. A silent call whose server does not answer the
        probe fails; an idempotent one is sent again on a new connection.
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
            if pending == 0 or isinstance(results[-1], PlainAnswer):
                group.cancel_scope.cancel()

        async def check_on(group):
            failure = await self._wait_for_probe_failure(name)
            if failure is not None:
                results.append(failure)
                group.cancel_scope.cancel()
            else:
                self._metrics.retries.labels('hedge').inc()
                group.start_soon(attempt, group)

        async with anyio.create_task_group() as group:
            group.start_soon(attempt, group)
            group.start_soon(check_on, group)
        if isinstance(results[-1], failures.AttemptError):
            raise results[-1]
        return results[-1]

    async def _wait_for_probe_failure(self, name):
        """Return a failure, or None if the call should be hedged."""
        # The document may stop declaring the server while the call runs.
        address = self._dispatcher.table.servers[name].declared.address
        while True:
            await anyio.sleep(PROBE_AFTER_S)
            exc = await self._probe(address)
            if exc is None and self._plain_call.idempotent:
                return None
            # A non-idempotent call on a server that is only slow may still
            # be answered; giving up would lose its outcome.
            refused = failures.FailureKind.CONNECTION_REFUSED
            if exc is not None and (
                self._plain_call.idempotent or exc.kind is refused
            ):
                return failures.AttemptError(
                    failures.FailureKind.SILENT,
                    kinds.Fate.UNKNOWN,
                    f'no answer, and the probe failed: {exc.detail}',
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
            # Learned since the server was chosen, or before a hedge.
            raise failures.AttemptError(
                failures.FailureKind.REFUSED,
                kinds.Fate.NOT_RUN,
                'the backend server is being stopped',
                refusal='draining',
            )
        attempt = client.Attempt(
            address=state.declared.address,
            method=plain.method,
            target=plain.target,
            headers=headers.for_backend_server(
                plain.received, request_id, plain.call.secrets
            ),
            body=plain.body,
            request_id=request_id,
            fresh=not plain.idempotent or self._attempts > 0,
        )
        if not plain.idempotent:
            self._dispatcher.check_runs_once(plain.call)
        plain.begin_attempt()
        try:
            return await self._exchange(name, attempt)
        finally:
            # Also when the deadline passed before anything was sent.
            if not plain.call.history.may_have_run:
                plain.attempt_not_run()

    async def _exchange(self, name, attempt):
        call = self._plain_call.call
        async with self._dispatcher.open(name, call, attempt) as response:
            body = await response.read_whole()
            self._dispatcher.check_whole(attempt, response, len(body))
            if response.status >= 400:
                refusal = client.refusal_of(response.status, body)
                if refusal.fate is kinds.Fate.NOT_RUN:
                    raise refusal
            return PlainAnswer(response.status, response.headers, body)
