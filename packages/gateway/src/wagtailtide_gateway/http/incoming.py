"""HTTP/1.1 server: listeners, connections and responses."""

import contextlib
import dataclasses
import enum
import logging

import anyio
from anyio import lowlevel
import h11

from wagtailtide_gateway.http import body_memory
from wagtailtide_gateway.http import sockets
from wagtailtide_gateway.model import deployment

LOG = logging.getLogger(__name__)

# While a request is handled, no more is read from its caller once this many
# bytes are buffered; a disconnect is then not noticed.
MAX_PIPELINED_BYTES = 65_536

# A body has to arrive within the idle timeout and the time that it takes at
# this rate. A caller could otherwise hold its memory with a byte a second.
MIN_BODY_BYTES_PER_S = 10_000

# Delay before connections are accepted again after an error.
ACCEPT_RETRY_DELAY_S = 0.1


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


class ResponseState(enum.Enum):
    """Progress of a response."""

    UNSENT = 'unsent'
    STARTED = 'started'
    FINISHED = 'finished'
    ABORTED = 'aborted'


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class BadRequest(Exception):
    """A request that is not valid HTTP or exceeds the limits.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, message, status):
        super().__init__(message)
        self.status = status


class Responder:
    """Writes the response to one request.

    Attributes:
        state: Progress of the response.
        keep_alive: Whether the connection serves further requests.
        disconnect_reason: How the caller's side of the connection ended, for
            the log, or None.
    """

    def __init__(self, conn, stream, keep_alive):
        self._h11 = conn
        self._stream = stream
        self._head = None
        self.state = ResponseState.UNSENT
        self.keep_alive = keep_alive
        self.disconnect_reason = None

    def start(self, status, headers):
        """Set the head; it is sent with the first bytes of the body.

        Until then another head may be set, or `respond` called.
        """
        self._head = status, headers

    async def send(self, data):
        """Send a part of the body; raises CallerDisconnected."""
        if self._head is not None:
            # If the request was cancelled, it can still get an error response.
            await lowlevel.checkpoint_if_cancelled()
        out = self._take_head() + self._h11.send(h11.Data(data=data))
        await self._write(out)

    async def flush(self):
        """Send the head if it has not been sent yet."""
        out = self._take_head()
        if out:
            await self._write(out)

    async def finish(self):
        """Complete the response."""
        out = self._take_head() + self._h11.send(h11.EndOfMessage())
        await self._write_end(out)

    async def respond(self, status, headers, body):
        """Send a complete response at once."""
        length = (b'Content-Length', b'%d' % len(body))
        self.start(status, [*headers, length])
        out = self._take_head()
        if body:
            out += self._h11.send(h11.Data(data=body))
        out += self._h11.send(h11.EndOfMessage())
        await self._write_end(out)

    def _take_head(self):
        """Return the bytes of the head if it has not been sent yet."""
        if self._head is None:
            return b''
        status, headers = self._head
        self._head = None
        headers = list(headers)
        if not self.keep_alive:
            headers.append((b'Connection', b'close'))
        self.state = ResponseState.STARTED
        return self._h11.send(
            h11.Response(status_code=status, headers=headers)
        )

    def abort(self):
        """Mark the response as incomplete, so that the connection closes."""
        self.state = ResponseState.ABORTED

    async def _write_end(self, out):
        # A request that is cancelled now has its response; only writing it
        # is left. A caller that does not read is disconnected by the kernel.
        with anyio.CancelScope(shield=True):
            await self._write(out)
        self.state = ResponseState.FINISHED

    async def _write(self, out):
        try:
            await self._stream.send(out)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            self.disconnect_reason = _describe_end(exc)
            raise CallerDisconnected(
                'the caller closed its connection before the response was '
                'complete'
            ) from exc


class CallerConnection:
    """Reads the requests of one connection and passes them to a handler.

    Args:
        stream: The TCP stream.
        handle: Coroutine function from (IncomingRequest, Responder).
        limits: Function that returns the CallerLimits in force. A request is
            held to those that are in force when its first bytes arrive.
        stopping: Function that returns whether the process is stopping.
        bodies: BodyMemory of the instance.

    Attributes:
        busy: Whether a request is being received or handled.
    """

    def __init__(self, stream, handle, limits, stopping, bodies=None):
        self._bodies = bodies or body_memory.BodyMemory()
        self._stream = stream
        self._handle = handle
        self._limits_in_force = limits
        self._limits = limits()
        self._stopping = stopping
        self._h11 = self._new_parser()
        self._unparsed = bytearray()
        self._caller_disconnected = False
        self._closed = False
        self.busy = False

    def _new_parser(self):
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    def _update_limits(self):
        """Take over the limits in force, between two requests."""
        previous, self._limits = self._limits, self._limits_in_force()
        if self._limits.max_header_bytes == previous.max_header_bytes:
            return
        unparsed, _ = self._h11.trailing_data
        self._h11 = self._new_parser()
        if unparsed:
            self._h11.receive_data(unparsed)

    async def serve(self):
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                self._h11.start_next_cycle()
        except CallerDisconnected:
            pass  # There is nobody to respond to.
        except BadRequest as exc:
            await self._reject(exc)
        finally:
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()

    async def close_if_idle(self):
        """Close the connection unless it has a request in progress."""
        if not self.busy:
            self._closed = True
            await self._stream.aclose()

    async def _serve_one(self):
        self.busy = False
        with self._bodies.claim() as claim:
            incoming = await self._read_request(claim)
            return incoming is not None and await self._respond(incoming)

    async def _respond(self, incoming):
        """Handle a request; return whether the connection goes on."""
        keep_alive = not self._stopping()
        responder = Responder(self._h11, self._stream, keep_alive)
        async with anyio.create_task_group() as tg:
            tg.start_soon(
                self._watch_for_disconnect, responder, tg.cancel_scope
            )
            await self._handle(incoming, responder)
            tg.cancel_scope.cancel()
        return (
            responder.state is ResponseState.FINISHED
            and not self._caller_disconnected
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )

    async def _watch_for_disconnect(self, responder, scope):
        """Cancel the request when its caller disconnects."""
        while len(self._unparsed) < MAX_PIPELINED_BYTES:
            try:
                self._unparsed += await self._stream.receive()
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as exc:
                self._caller_disconnected = True
                responder.disconnect_reason = _describe_end(exc)
                scope.cancel()
                return

    async def _read_request(self, claim):
        if not self._h11.trailing_data[0]:
            with anyio.move_on_after(self._limits.idle_timeout_s):
                await self._receive_input()
            # A stream may return input that it received before it was closed.
            # The caller can get no response to that request any more.
            if self._closed or not self._unparsed:
                return None
        self.busy = True
        self._update_limits()
        with anyio.move_on_after(self._limits.header_timeout_s) as scope:
            request = await self._next_event()
        if scope.cancelled_caught:
            raise BadRequest(
                'expected the complete head of a request within '
                f'{self._limits.header_timeout_s} s; retry the request',
                408,
            )
        if not isinstance(request, h11.Request):
            return None
        received_at = anyio.current_time()
        body = await self._read_body(claim, _stated_length(request))
        if body is None:
            return None
        return IncomingRequest(
            request.method,
            request.target,
            tuple(request.headers.raw_items()),
            body,
            received_at,
        )

    async def _read_body(self, claim, expected):
        if self._h11.they_are_waiting_for_100_continue:
            out = self._h11.send(
                h11.InformationalResponse(status_code=100, headers=())
            )
            await self._stream.send(out)
        parts = []
        try:
            with self._bodies.arriving(claim):
                return await self._read_parts(claim, parts, expected)
        except body_memory.OutOfMemory as exc:
            status = 408 if exc.is_slow else 503
            raise BadRequest(f'{exc}; retry the request', status) from exc
        finally:
            # The exception must not keep the parts.
            parts.clear()

    async def _read_parts(self, claim, parts, expected):
        """Return the body, None if the connection ended before."""
        limits = self._limits
        started_at = anyio.current_time()
        expected = min(expected, limits.max_body_bytes)
        while True:
            allowed_s = limits.idle_timeout_s
            allowed_s += claim.size / MIN_BODY_BYTES_PER_S
            left_s = started_at + allowed_s - anyio.current_time()
            with anyio.move_on_after(max(0.0, left_s)) as scope:
                event = await self._next_event()
            if scope.cancelled_caught:
                raise BadRequest(
                    f'expected the complete body within {allowed_s:.0f} s; '
                    'retry the request',
                    408,
                )
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                return None
            size = len(event.data)
            if claim.size + size > limits.max_body_bytes:
                raise BadRequest(
                    'expected a body of at most '
                    f'{limits.max_body_bytes} bytes; send a smaller one',
                    413,
                )
            await self._bodies.grow(claim, size, expected)
            parts.append(bytes(event.data))

    async def _receive_input(self):
        if self._unparsed or self._caller_disconnected:
            return
        try:
            self._unparsed += await self._stream.receive()
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            self._caller_disconnected = True

    async def _next_event(self):
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadRequest(str(exc), exc.error_status_hint) from exc
            if event is not h11.NEED_DATA:
                return event
            await self._receive_input()
            self._h11.receive_data(bytes(self._unparsed))
            self._unparsed.clear()

    async def _reject(self, exc):
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(exc).encode()
        responder = Responder(self._h11, self._stream, keep_alive=False)
        headers = [(b'Content-Type', b'text/plain; charset=utf-8')]
        # The connection is closed even if the response cannot be sent.
        with contextlib.suppress(CallerDisconnected):
            await responder.respond(exc.status, headers, body)


def _stated_length(request):
    """Return the Content-Length of a request, 0 without one."""
    for name, value in request.headers:
        if name == b'content-length':
            return int(value)
    return 0


def _describe_end(exc):
    """Return how a connection ended, for the log.

    Args:
        exc: Error of the stream, raised from the error of the socket if that
            is known.
    """
    if isinstance(exc, anyio.EndOfStream):
        return 'closed by the caller'
    if isinstance(exc, anyio.ClosedResourceError):
        return 'closed by this instance'
    return f'broken: {exc.__cause__!r}'


def _default_limits():
    return deployment.CallerLimits()


class Listener:
    """Accepts connections at one address.

    Args:
        address: The Address.
        handle: Coroutine function from (IncomingRequest, Responder).
        stopping: Function that returns whether the process is stopping.
        limits: Function that returns the CallerLimits in force.
        bodies: BodyMemory of the instance, None for one of its own.
    """

    def __init__(
        self,
        address,
        handle,
        stopping,
        limits=_default_limits,
        bodies=None,
    ):
        self._bodies = bodies or body_memory.BodyMemory()
        self._address = address
        self._handle = handle
        self._stopping = stopping
        self._open = set()
        self._listener = None
        self._limits = limits

    async def listen(self):
        """Bind the address; raises OSError."""
        self._listener = await anyio.create_tcp_listener(
            local_host=self._address.host,
            local_port=self._address.port,
            backlog=512,
        )

    async def serve(self):
        """Serve connections until cancelled."""
        async with self._listener, anyio.create_task_group() as tg:
            while True:
                try:
                    await self._listener.serve(self._serve_connection, tg)
                except* (OSError, anyio.BrokenResourceError) as exc:
                    # For example, no file descriptor is left. The open
                    # connections are served on.
                    LOG.error(
                        'cannot accept a connection',
                        extra={'reason': repr(exc.exceptions)},
                    )
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)

    async def _serve_connection(self, stream):
        sockets.enable_keepalive(stream)
        sockets.limit_buffers(stream)
        conn = CallerConnection(
            stream,
            self._handle,
            self._limits,
            self._stopping,
            self._bodies,
        )
        self._open.add(conn)
        try:
            await conn.serve()
        except Exception:
            # An error on one connection must not end the others.
            LOG.exception('unexpected error on a connection')
        finally:
            self._open.discard(conn)

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._open)

    @property
    def busy_count(self):
        """Number of connections with a request in progress."""
        return sum(conn.busy for conn in self._open)

    async def close_idle(self):
        """Close connections that have no request in progress."""
        for conn in tuple(self._open):
            await conn.close_if_idle()
