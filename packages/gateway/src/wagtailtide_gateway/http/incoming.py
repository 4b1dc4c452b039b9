"""Reads the requests of accepted connections."""

import contextlib
import dataclasses

import anyio
import h11

from wagtailtide_gateway.decisions import connections
from wagtailtide_gateway.http import body_memory
from wagtailtide_gateway.http import connection_budget
from wagtailtide_gateway.http import responder
from wagtailtide_gateway.http import turns as turns_

# While a request is handled, no more is read from its caller once this many
# bytes are buffered; a disconnect is then not noticed.
MAX_PIPELINED_BYTES = 16_384

# A body has to arrive within the idle timeout and the time that it takes at
# this rate. A caller could otherwise hold its memory with a byte a second.
MIN_BODY_BYTES_PER_S = 10_000

# A larger head is parsed in a turn. One of 16 kB may have 3,100 headers, which
# take as long as hundreds of other pieces.
LARGE_HEAD_BYTES = 4_096

# The larger a head, the more rounds of the event loop others get before it.
HEAD_BYTES_PER_ROUND = 1_024

# Memory of one header besides its bytes: three byte strings and a tuple.
HEADER_BYTES = 250

# Rejections for want of memory, and when to come back: another instance
# probably has some.
OUT_OF_MEMORY_STATUS = 503
RETRY_ELSEWHERE_AFTER_S = 0.2

# After a response that ends a connection, input is discarded until the caller
# closes it, for this long and up to this size. The kernel would otherwise
# reset the connection, and the caller may lose the response.
LINGER_S = 1.0
LINGER_BYTES = 8_388_608

_STREAM_ENDS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A completely received request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Raw names and values in order.
        body: The body.
        received_at: Time in seconds at which its head was complete.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_at: float


class BadRequest(Exception):
    """A request that is not valid HTTP or exceeds the limits.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, message, status):
        super().__init__(message)
        self.status = status


class CallerConnection:
    """Reads the requests of one connection and passes them to a handler.

    Args:
        stream: The AcceptedStream.
        handle: Coroutine function from (IncomingRequest, Responder).
        limits: Function that returns the CallerLimits in force. A request is
            held to those that are in force when its first bytes arrive.
        stopping: Function that returns whether the process is stopping.
        resources: Resources of the instance.
        holding: Holding of the connection.

    Attributes:
        busy: Whether a request is being received or handled.
    """

    def __init__(self, stream, handle, limits, stopping, resources, holding):
        self._bodies = resources.bodies
        self._turns = resources.turns
        self._pieces = turns_.Pieces(resources.turns)
        self._holding = holding
        self._stream = stream
        self._handle = handle
        self._limits_in_force = limits
        self._limits = limits()
        self._stopping = stopping
        self._h11 = self._new_parser()
        self._unparsed = bytearray()
        # Memory of the request that is received or handled.
        self._request_bytes = 0
        self._caller_disconnected = False
        # Whether the last request has a complete response.
        self._has_responded = False
        self.busy = False

    def _new_parser(self):
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    def _update_limits(self, unparsed):
        """Take over the limits in force, between two requests.

        Args:
            unparsed: What the parser holds of the next request.
        """
        previous, self._limits = self._limits, self._limits_in_force()
        if self._limits.max_header_bytes == previous.max_header_bytes:
            return
        self._h11 = self._new_parser()
        if unparsed:
            self._h11.receive_data(unparsed)

    async def serve(self):
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                self._h11.start_next_cycle()
            if self._has_responded and (
                self._unparsed or self._stream.has_pending_input
            ):
                await self._linger()
        except responder.CallerDisconnected:
            pass  # There is nobody to respond to.
        except BadRequest as exc:
            await self._reject(exc)
            await self._linger()
        finally:
            self._stream.close()

    def close_if_idle(self):
        """Close the connection unless it has a request in progress."""
        if not self.busy:
            self._stream.close()

    def close(self):
        """Close the connection, whatever it is doing."""
        self._stream.close()

    async def _serve_one(self):
        self.busy = False
        with self._bodies.claim() as claim:
            try:
                incoming = await self._read_request(claim)
            except connection_budget.OutOfMemory as exc:
                raise BadRequest(
                    f'{exc}; retry the request', OUT_OF_MEMORY_STATUS
                ) from exc
            return incoming is not None and await self._respond(incoming)

    async def _respond(self, incoming):
        """Handle a request; return whether the connection goes on."""
        self._holding.enter(connections.Phase.SERVING)
        out = self._make_responder(
            keep_alive=not self._stopping(),
            omits_body=incoming.method == b'HEAD',
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watch_for_disconnect, out, tg.cancel_scope)
            await self._handle(incoming, out)
            tg.cancel_scope.cancel()
        self._has_responded = out.state is responder.ResponseState.FINISHED
        return (
            self._has_responded
            and not self._caller_disconnected
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )

    def _make_responder(self, keep_alive, omits_body=False):
        return responder.Responder(
            self._h11,
            self._stream,
            self._holding,
            keep_alive,
            self._limits.idle_timeout_s,
            omits_body,
        )

    async def _watch_for_disconnect(self, out, scope):
        """Cancel the request when its caller disconnects."""
        while len(self._unparsed) < MAX_PIPELINED_BYTES:
            try:
                self._unparsed += await self._stream.receive()
                self._holding.hold_request(
                    self._request_bytes + len(self._unparsed)
                )
            except connection_budget.OutOfMemory:
                return
            except _STREAM_ENDS as exc:
                self._caller_disconnected = True
                out.disconnect_reason = responder.describe_end(exc)
                scope.cancel()
                return

    async def _read_request(self, claim):
        unparsed, _ = self._h11.trailing_data
        self._holding.enter(connections.Phase.IDLE)
        self._request_bytes = len(unparsed) + len(self._unparsed)
        self._holding.hold_request(self._request_bytes)
        if self._request_bytes:
            self.busy = True
            await self._turns.wait()
        else:
            with anyio.move_on_after(self._limits.idle_timeout_s):
                await self._receive_input()
            if not self._unparsed:
                return None
        # The caller of a closed connection can get no response any more.
        if self._stream.is_closed:
            return None
        self.busy = True
        self._holding.enter(connections.Phase.RECEIVING)
        self._pieces.restart()
        self._update_limits(unparsed)
        request = await self._read_head()
        if not isinstance(request, h11.Request):
            return None
        received_at = anyio.current_time()
        body = await self._read_body(claim, request)
        if body is None:
            return None
        self._holding.hold_request(self._request_bytes)
        return IncomingRequest(
            request.method,
            request.target,
            tuple(request.headers.raw_items()),
            body,
            received_at,
        )

    async def _read_head(self):
        give_up_at = anyio.current_time() + self._limits.header_timeout_s
        try:
            return await self._next_event(lambda: give_up_at)
        except TimeoutError as exc:
            raise BadRequest(
                'expected the complete head of a request within '
                f'{self._limits.header_timeout_s} s; retry the request',
                408,
            ) from exc

    async def _read_body(self, claim, request):
        """Return the body, None if the connection ended before."""
        stated = _stated_length(request)
        if stated > self._limits.max_body_bytes:
            raise self._body_too_large()
        if self._h11.they_are_waiting_for_100_continue:
            await self._make_responder(keep_alive=True).send_continue()
        body = bytearray()
        try:
            with self._bodies.arriving(claim):
                is_whole = await self._read_parts(
                    claim,
                    body,
                    _memory_of_head(request),
                    stated,
                )
                return bytes(body) if is_whole else None
        except body_memory.OutOfMemory as exc:
            status = 408 if exc.is_slow else OUT_OF_MEMORY_STATUS
            raise BadRequest(f'{exc}; retry the request', status) from exc
        finally:
            # The exception must not keep the body.
            body.clear()

    async def _read_parts(self, claim, body, head_bytes, expected):
        """Receive a body; return whether it is whole."""
        limits = self._limits
        started_at = anyio.current_time()
        expected = min(expected, limits.max_body_bytes)

        def allowed_s():
            return limits.idle_timeout_s + claim.size / MIN_BODY_BYTES_PER_S

        while True:
            # While a body is sent to a server there is a second copy of it.
            # The memory of what is larger is that of the claim.
            self._request_bytes = head_bytes + 2 * min(
                len(body), body_memory.FREE_BYTES
            )
            try:
                event = await self._next_event(
                    lambda: started_at + allowed_s()
                )
            except TimeoutError as exc:
                raise BadRequest(
                    f'expected the complete body within {allowed_s():.0f} s; '
                    'retry the request',
                    408,
                ) from exc
            if not isinstance(event, h11.Data):
                return isinstance(event, h11.EndOfMessage)
            size = len(event.data)
            if claim.size + size > limits.max_body_bytes:
                raise self._body_too_large()
            await self._bodies.grow(claim, size, expected)
            body += event.data

    def _body_too_large(self):
        return BadRequest(
            f'expected a body of at most {self._limits.max_body_bytes} bytes; '
            'send a smaller one',
            413,
        )

    async def _receive_input(self):
        if self._unparsed or self._caller_disconnected:
            return
        try:
            self._unparsed += await self._stream.receive()
        except _STREAM_ENDS:
            self._caller_disconnected = True

    async def _next_event(self, give_up_at):
        """Return the next event of the parser.

        Args:
            give_up_at: Function that returns the time in seconds after which
                no more input is awaited.

        Raises:
            BadRequest: The input is not valid HTTP.
            TimeoutError: The input did not arrive in time.
        """
        received = 0
        while True:
            await self._pieces.take()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadRequest(str(exc), exc.error_status_hint) from exc
            if event is not h11.NEED_DATA:
                return event
            self._holding.hold_request(self._request_bytes + received)
            with anyio.CancelScope(deadline=give_up_at()) as scope:
                await self._receive_input()
            if scope.cancelled_caught:
                raise TimeoutError
            received += len(self._unparsed)
            self._pieces.allow_for(len(self._unparsed))
            if received > LARGE_HEAD_BYTES and self._is_in_head:
                await self._turns.wait(received // HEAD_BYTES_PER_ROUND)
            self._h11.receive_data(bytes(self._unparsed))
            self._unparsed.clear()

    @property
    def _is_in_head(self):
        """Whether the head of a request is not complete yet."""
        return self._h11.their_state is h11.IDLE

    async def _reject(self, exc):
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(exc).encode()
        headers = [(b'Content-Type', b'text/plain; charset=utf-8')]
        if exc.status == OUT_OF_MEMORY_STATUS:
            headers.append((b'Retry-After', b'%.2f' % RETRY_ELSEWHERE_AFTER_S))
        # The connection is closed even if the response cannot be sent.
        with contextlib.suppress(responder.CallerDisconnected):
            await self._make_responder(keep_alive=False).respond(
                exc.status, headers, body
            )

    async def _linger(self):
        """Discard what is left of the input, so that the caller can read."""
        if self._caller_disconnected or self._stream.is_closed:
            return
        self.busy = False
        self._unparsed.clear()
        self._pieces.restart()
        self._holding.enter(connections.Phase.CLOSING)
        discarded = 0
        with (
            anyio.move_on_after(LINGER_S),
            contextlib.suppress(*_STREAM_ENDS),
        ):
            self._stream.end_sending()
            while discarded < LINGER_BYTES:
                await self._pieces.take()
                discarded += len(await self._stream.receive())


def _stated_length(request):
    """Return the Content-Length of a request, 0 without one."""
    for name, value in request.headers:
        if name == b'content-length':
            return int(value)
    return 0


def _memory_of_head(request):
    """Return the bytes of memory that the head of a request takes."""
    items = request.headers.raw_items()
    size = sum(len(name) + len(value) for name, value in items)
    return 2 * size + len(request.target) + HEADER_BYTES * len(items)
