"""Writes the responses to callers' requests."""

import enum

import anyio
from anyio import lowlevel
import h11

from wagtailtide_gateway.decisions import connections

# A part of a response has to be read within the idle timeout and the time that
# it takes at this rate. A caller could otherwise hold its memory, and a
# graceful stop, with a byte now and then.
MIN_BYTES_PER_S = 10_000

# Statuses that reject what the caller sent, whatever the instance could do.
REJECTIONS = frozenset(range(400, 500)) - {429}


class ResponseState(enum.Enum):
    """Progress of a response."""

    UNSENT = 'unsent'
    STARTED = 'started'
    FINISHED = 'finished'
    ABORTED = 'aborted'


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class Responder:
    """Writes the response to one request.

    Args:
        conn: The h11.Connection.
        stream: The AcceptedStream.
        holding: Holding of the connection.
        keep_alive: Whether the connection serves further requests.
        read_timeout_s: Seconds in which the caller has to read a small part.
        omits_body: Whether the response has a head only, that of a HEAD
            request.

    Attributes:
        state: Progress of the response.
        keep_alive: Whether the connection serves further requests.
        disconnect_reason: How the caller's side of the connection ended, for
            the log, or None.
    """

    def __init__(
        self,
        conn,
        stream,
        holding,
        keep_alive,
        read_timeout_s,
        omits_body=False,
    ):
        self._h11 = conn
        self._stream = stream
        self._holding = holding
        self._read_timeout_s = read_timeout_s
        self._omits_body = omits_body
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
        out = self._take_head() + self._encode_body(data)
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
        out = self._take_head() + self._encode_body(body)
        out += self._h11.send(h11.EndOfMessage())
        await self._write_end(out)

    async def send_continue(self):
        """Tell a caller that waits for it to send its body."""
        event = h11.InformationalResponse(status_code=100, headers=())
        await self._write(self._h11.send(event))

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
        if status not in REJECTIONS:
            self._holding.was_served = True
        return self._h11.send(
            h11.Response(status_code=status, headers=headers)
        )

    def _encode_body(self, data):
        if self._omits_body or not data:
            return b''
        return self._h11.send(h11.Data(data=data))

    def abort(self):
        """Mark the response as incomplete, so that the connection closes."""
        self.state = ResponseState.ABORTED

    async def _write_end(self, out):
        # A request that is cancelled now has its response; only writing it
        # is left.
        with anyio.CancelScope(shield=True):
            await self._write(out)
        self.state = ResponseState.FINISHED

    async def _write(self, out):
        try:
            await lowlevel.checkpoint_if_cancelled()
            rest = self._stream.send_at_once(memoryview(out))
            if rest:
                await self._wait_until_read(rest)
            else:
                await lowlevel.cancel_shielded_checkpoint()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            self._disconnect(describe_end(exc), exc)

    async def _wait_until_read(self, rest):
        """Send what the kernel does not take before the caller reads."""
        timeout_s = self._read_timeout_s + len(rest) / MIN_BYTES_PER_S
        phase = self._holding.phase
        self._holding.enter(connections.Phase.BLOCKED)
        # This connection may be closed to make room for its own response.
        self._holding.hold_response(len(rest))
        try:
            with anyio.move_on_after(timeout_s) as scope:
                await self._stream.send(rest)
        finally:
            self._holding.enter(phase)
            self._holding.hold_response(0)
        if scope.cancelled_caught:
            self._disconnect(f'response not read within {timeout_s:.0f} s')

    def _disconnect(self, reason, cause=None):
        self.disconnect_reason = reason
        raise CallerDisconnected(
            'the caller closed its connection before the response was complete'
        ) from cause


def describe_end(exc):
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
