"""One attempt of a request at one backend server."""

import dataclasses

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway import ports
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import deployment

# Idle time up to which a connection carries a request that must not run
# twice: one that the server has just dropped would leave its fate unknown.
CAREFUL_IDLE_S = 0.8

# Time without an answer after which a request that may be repeated goes to
# another server, as a factor of its target and at least.
PATIENCE_TARGETS = 3.0
MIN_PATIENCE_S = 1.0

# Longest pause in a stream that may be resumed before its server is taken
# for stuck. Callers leave after two seconds.
STREAM_PATIENCE_S = 1.5

# Wait for the first event of a stream that may be resumed. An engine that is
# full keeps requests waiting, so this is longer than a pause.
FIRST_EVENT_PATIENCE_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt without a good answer.

    Attributes:
        not_run: Whether the request certainly did not run.
        reason: What happened, for the log.
        unreachable: Whether the server took no connection.
        broken: Whether the connection broke while the request was in it.
        lacks: Whether the server lacks what the request names.
        head: AnswerHead of an answer that can be passed on, or None.
        body: Its body.
    """

    not_run: bool
    reason: str
    unreachable: bool = False
    broken: bool = False
    lacks: bool = False
    head: ports.AnswerHead | None = None
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer that was read to its end."""

    head: ports.AnswerHead
    body: bytes


class Attempt:
    """A request at a server, from the connection to the answer's end."""

    def __init__(self, port, pool, job, state, dispatch):
        self._port = port
        self._pool = pool
        self._job = job
        self._state = state
        self._dispatch = dispatch
        self._conn = None

    async def open(self):
        """Send the request and return its AnswerHead or Failed.

        After an AnswerHead the body has to be read; `close` ends the attempt
        in any case.
        """
        repeats = self._job.route.kind is deployment.RouteKind.IDEMPOTENT
        max_idle_s = outgoing.DEFAULT_IDLE_S if repeats else CAREFUL_IDLE_S
        try:
            self._conn = await self._pool.acquire(
                self._state.server.address, max_idle_s
            )
            with anyio.move_on_after(self._patience_s()) as scope:
                return await self._exchange_heads()
        except outgoing.ConnectionBroken as exc:
            ran = fate.fate_of_failure(exc.progress)
            return Failed(
                not_run=ran is fate.kinds.Fate.NOT_RUN,
                reason=str(exc),
                unreachable=exc.progress is fate.Progress.CONNECTING,
                broken=exc.progress is not fate.Progress.CONNECTING,
            )
        if scope.cancelled_caught:
            return Failed(not_run=False, reason='no answer in time')
        return None

    def _patience_s(self):
        route = self._job.route
        if not self._job.may_run_again():
            return None
        if route.kind is deployment.RouteKind.STREAM:
            return FIRST_EVENT_PATIENCE_S
        return max(MIN_PATIENCE_S, PATIENCE_TARGETS * route.latency_target_s)

    async def _exchange_heads(self):
        req = self._job.req
        headers = self._port.request_headers(req, self._dispatch)
        head = await self._conn.request(
            req.method, req.target, headers, req.body
        )
        answer = self._port.answer_head(head.status, head.headers)
        for _ in range(outgoing.MAX_STRAY_ANSWERS):
            if answer.attempt_id in (None, req.attempt_id):
                break
            # A late answer to an earlier request; ours follows it.
            await self._conn.read_body()
            self._conn.expect_another_answer()
            head = await self._conn.read_head()
            answer = self._port.answer_head(head.status, head.headers)
        return await self._judge(answer)

    async def _judge(self, answer):
        good = 200 <= answer.status < 300
        if (
            good
            and answer.attempt_id == self._job.req.attempt_id
            and (answer.signed)
        ):
            return answer
        if good or answer.attempt_id not in (
            None,
            self._job.req.attempt_id,
        ):
            return Failed(False, 'answer to another request', broken=True)
        body = await self._conn.read_body()
        await self.finish()
        passable = answer.signed and answer.attempt_id is not None
        return Failed(
            not_run=answer.not_run,
            reason=f'status {answer.status}',
            lacks=answer.wrong_server,
            head=answer if passable and not answer.not_run else None,
            body=body,
        )

    async def read_whole(self, head):
        """Read the body of a good answer; return Whole or Failed."""
        try:
            body = await self._conn.read_body()
        except outgoing.ConnectionBroken as exc:
            return Failed(False, str(exc), broken=True)
        await self.finish()
        return Whole(head, body)

    async def read_part(self, patience_s):
        """Return the next bytes of a stream, None at its end.

        Args:
            patience_s: Longest pause in seconds, or None.

        Raises:
            ConnectionBroken: The stream ended early or paused too long.
        """
        if patience_s is None:
            return await self._conn.read_data()
        try:
            with anyio.fail_after(patience_s):
                return await self._conn.read_data()
        except TimeoutError as exc:
            raise outgoing.ConnectionBroken(
                f'no event for {patience_s} s', fate.Progress.RESPONDING
            ) from exc

    async def finish(self):
        """Keep the connection after a whole answer."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await self._pool.release(conn)

    async def close(self):
        """End the attempt; a server stops work when its connection ends."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()
