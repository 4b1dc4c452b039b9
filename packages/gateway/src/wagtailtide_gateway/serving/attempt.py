"""One attempt to run a request on one backend server."""

import contextlib
import dataclasses

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway import ports
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import deployment
from wagtailtide_gateway.serving import server_call

# Longest idle time of a connection that is reused for a request that is not
# idempotent. If the server closes the connection as the request is sent, it is
# unknown whether the request ran.
NON_IDEMPOTENT_MAX_IDLE_S = 0.8

# Response timeout of a request that may be retried at another server: this
# multiple of its latency target, but at least the minimum.
RESPONSE_TIMEOUT_TARGET_FACTOR = 3.0
MIN_RESPONSE_TIMEOUT_S = 1.0

# Pause after which a resumable stream is moved to another server if one is
# free. Callers disconnect after two seconds.
STREAM_STALL_TIMEOUT_S = 1.5

# A stalled stream that could not be moved checks this often for a server.
STALL_RECHECK_INTERVAL_S = 0.25

# Timeout for the first event of a resumable stream. It is longer than the
# stall timeout because a fully loaded engine queues requests. Callers have
# their own limit, Route.first_event_timeout_s.
FIRST_EVENT_TIMEOUT_S = 2.5

# A response that is no stream is held as a whole up to this size, so that it
# can be retried when it breaks off. Larger ones are passed on as they arrive:
# a caller that reads slowly would otherwise make the instance hold any size.
MAX_WHOLE_BYTES = 1_048_576

# Time in which the body of a rejection has to follow its head. The request is
# sent to another server without waiting longer.
REJECTION_BODY_TIMEOUT_S = 0.25

# Reason of an attempt whose response may lack its end.
CUT_BY_CRASH = 'server crashed as the response ended with its connection'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Result of an attempt that did not succeed.

    Attributes:
        not_run: Whether the request certainly did not run.
        reason: What happened, for the log.
        unreachable: Whether the server did not accept a connection.
        broken: Whether the connection broke after the server accepted it.
        misdirected: Whether the server is not the expected one, or does not
            have the model or adapter.
        head: ResponseHead of an error response that can be forwarded to the
            caller, or None.
        body: Body of that response.
        peer: Name of the instance that forwarded the request, or None.
        evacuated: Whether nothing was sent because the server's zone was
            evacuated.
    """

    not_run: bool
    reason: str
    unreachable: bool = False
    broken: bool = False
    misdirected: bool = False
    head: ports.ResponseHead | None = None
    body: bytes = b''
    peer: str | None = None
    evacuated: bool = False

    @property
    def found_no_server(self):
        """Whether this instance itself could not send to the server."""
        return self.evacuated or (self.unreachable and self.peer is None)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response, or the first part of one that is large.

    Attributes:
        head: Its ResponseHead.
        body: Its body, as far as it was read.
        is_whole: Whether that is the whole body.
    """

    head: ports.ResponseHead
    body: bytes
    is_whole: bool = True


class Attempt:
    """An exchange with one server, from connecting to the response's end.

    Args:
        backend_port: The BackendPort.
        call: The ServerCall, or ForwardedCall through another instance.
        job: The Job of the request.
        state: ServerState of the server.
        dispatch: The Dispatch.
    """

    def __init__(self, backend_port, call, job, state, dispatch):
        self._backend_port = backend_port
        self._call = call
        self._job = job
        self._state = state
        self._dispatch = dispatch

    @property
    def software_version(self):
        """Software version of the server."""
        return self._state.server.software_version

    @property
    def framing(self):
        """Framing of the server's response, None without one."""
        return self._call.framing

    async def open(self):
        """Send the request and return its ResponseHead or a Failure.

        After a ResponseHead the body has to be read. Call `close` at the end
        in either case.
        """
        request = self._make_request()
        try:
            await self._call.connect(request)
            with anyio.move_on_after(self._response_timeout_s()) as scope:
                _, response = await self._call.send(request)
                return await self._classify(response)
        except server_call.NotSent as exc:
            return Failure(
                not_run=True,
                reason=str(exc),
                evacuated=isinstance(exc, server_call.ZoneEvacuated),
            )
        except outgoing.ConnectionBroken as exc:
            run_fate = fate.fate_of_failure(exc.progress)
            return Failure(
                not_run=run_fate is fate.kinds.Fate.NOT_RUN,
                reason=str(exc),
                unreachable=exc.progress is fate.Progress.CONNECTING,
                broken=exc.progress is not fate.Progress.CONNECTING,
            )
        if scope.cancelled_caught:
            return Failure(not_run=False, reason='response timed out')
        return None

    def _make_request(self):
        req = self._job.req
        is_idempotent = self._job.route.kind is deployment.RouteKind.IDEMPOTENT
        return server_call.ServerRequest(
            attempt_id=req.attempt_id,
            method=req.method,
            target=req.target,
            headers=tuple(
                self._backend_port.request_headers(req, self._dispatch)
            ),
            body=req.body,
            max_idle_s=(
                outgoing.DEFAULT_IDLE_S
                if is_idempotent
                else NON_IDEMPOTENT_MAX_IDLE_S
            ),
        )

    def _response_timeout_s(self):
        route = self._job.route
        if not self._job.may_retry():
            return None
        if route.kind is deployment.RouteKind.STREAM:
            return FIRST_EVENT_TIMEOUT_S
        return max(
            MIN_RESPONSE_TIMEOUT_S,
            RESPONSE_TIMEOUT_TARGET_FACTOR * route.latency_target_s,
        )

    async def _classify(self, response):
        is_success = 200 <= response.status < 300
        if (
            is_success
            and response.attempt_id == self._job.req.attempt_id
            and (response.signed)
        ):
            return response
        if is_success or response.attempt_id not in (
            None,
            self._job.req.attempt_id,
        ):
            return Failure(False, 'response to another request', broken=True)
        reason = f'status {response.status}'
        if response.not_run:
            await self._discard_rejection()
            return Failure(True, reason, misdirected=response.misdirected)
        body = await self._call.read_body(MAX_WHOLE_BYTES)
        await self.keep_connection()
        may_forward = response.signed and response.attempt_id is not None
        return Failure(
            False, reason, head=response if may_forward else None, body=body
        )

    async def _discard_rejection(self):
        """Read the body of a rejection, so that the connection may be reused.

        That the request did not run holds whatever the body is.
        """
        with (
            contextlib.suppress(outgoing.ConnectionBroken),
            anyio.move_on_after(REJECTION_BODY_TIMEOUT_S),
        ):
            await self._call.read_body(outgoing.MAX_REASON_BYTES)
            await self.keep_connection()

    async def read_response(self, head):
        """Read the body of a successful response, up to MAX_WHOLE_BYTES.

        Args:
            head: Its ResponseHead.

        Returns:
            The Response, or a Failure if the connection broke.
        """
        parts, size = [], 0
        try:
            while (data := await self._call.read_data()) is not None:
                parts.append(data)
                size += len(data)
                if size > MAX_WHOLE_BYTES:
                    return Response(head, b''.join(parts), is_whole=False)
        except outgoing.ConnectionBroken as exc:
            return Failure(False, str(exc), broken=True)
        if await self.was_cut_by_crash():
            return Failure(False, CUT_BY_CRASH, broken=True)
        await self.keep_connection()
        return Response(head, b''.join(parts))

    async def pass_on(self, response, out):
        """Send a large response to the caller as it arrives.

        Args:
            response: The Response with its first part.
            out: The Responder.

        Returns:
            None, or a Failure if the connection broke.

        Raises:
            CallerDisconnected: The caller closed its connection.
        """
        out.start(response.head.status, response.head.headers)
        await out.send(response.body)
        try:
            while (data := await self._call.read_data()) is not None:
                await out.send(data)
        except outgoing.ConnectionBroken as exc:
            return Failure(False, str(exc), broken=True)
        if await self.was_cut_by_crash():
            return Failure(False, CUT_BY_CRASH, broken=True)
        await self.keep_connection()
        await out.finish()
        return None

    async def read_chunk(self, timeout_s):
        """Return the next bytes of a stream, None at its end.

        Args:
            timeout_s: Longest pause in seconds, None for no limit.

        Raises:
            ConnectionBroken: The stream ended early.
            TimeoutError: It paused too long. It may be read on.
        """
        with anyio.fail_after(timeout_s):
            return await self._call.read_data()

    async def was_cut_by_crash(self):
        """Return whether a received response may lack its end."""
        return await self._call.was_cut_by_crash()

    async def keep_connection(self):
        """Keep the connection for reuse after a complete response."""
        await self._call.keep_connection()

    async def close(self):
        """Close the connection unless it was kept for reuse."""
        await self._call.close()
