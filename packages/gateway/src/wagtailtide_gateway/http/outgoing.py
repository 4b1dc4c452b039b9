"""HTTP/1.1 client: pooled connections to servers, store and instances."""

import collections
import contextlib
import dataclasses
import enum
import re

import anyio
from anyio import lowlevel
import h11
from wagtailtide_core.retries import fate

from wagtailtide_gateway.http import sockets

MAX_PORT = 65_535

CONNECT_TIMEOUT_S = 1.0

# Time to wait for a probe to be refused. If no process listens, the refusal
# arrives within a round trip; a timeout proves nothing.
PROBE_TIMEOUT_S = 0.1

# Idle connections kept for each address, enough for the requests that one
# instance usually has in progress at a server.
MAX_IDLE_PER_ADDRESS = 6

# Connections are discarded this long before the server's keep-alive timeout,
# so that the server does not close one while a request is on its way.
KEEP_ALIVE_MARGIN_S = 0.7

# Idle time after which a connection is not reused. A shorter keep-alive
# timeout stated by the server takes precedence.
DEFAULT_IDLE_S = 4.0

# Larger bodies are sent while the response is awaited: a server may respond
# before it has read the whole body, and a full TCP window blocks the sender.
SMALL_BODY_BYTES = 4_096

# Largest number of late responses to other attempts that are skipped while the
# response to a request is awaited.
MAX_STRAY_RESPONSES = 3

# Statuses of final responses. Any other number is no HTTP status.
MIN_STATUS = 200
MAX_STATUS = 599

# Interim responses that may precede a response.
MAX_INTERIM_RESPONSES = 8

# Largest late response to another request that is skipped.
MAX_LATE_BYTES = 1_048_576

# Each piece of a body counts as this many bytes, because handling a chunk of
# one byte takes as long as copying some of these.
MIN_PIECE_BYTES = 64

# Pieces that are handled before other tasks go on, a millisecond of work.
PIECES_PER_CHECKPOINT = 64

# Largest body that says in words why a call failed, which is for people only.
MAX_REASON_BYTES = 16_384

_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d+)')


class ConnectionBroken(Exception):
    """The connection failed before the response was complete.

    Attributes:
        progress: The Progress of the request when the connection failed.
    """

    def __init__(self, message, progress):
        super().__init__(message)
        self.progress = progress


class BodyTooLarge(ConnectionBroken):
    """The body of a response is larger than its reader accepts."""

    def __init__(self, address, max_bytes):
        super().__init__(
            f'expected at most {max_bytes} bytes from {address}, got more',
            fate.Progress.RESPONDING,
        )


class Framing(enum.Enum):
    """How the end of a response body is marked."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def framing(self):
        """Framing of the body of a response to a GET or POST request."""
        names = {name.lower() for name, _ in self.headers}
        if b'transfer-encoding' in names:
            return Framing.CHUNKS
        if b'content-length' in names or self.status in (204, 304):
            return Framing.LENGTH
        return Framing.CLOSE


class Connection:
    """A client connection that carries one request at a time.

    Attributes:
        address: Address of the server.
        refused: Ids of the requests that were refused on it.
        reused: Whether it has carried a request before.
        carried_call: Whether it has carried a call whose response has no id,
            so that a late second one could be taken for that to the next.
        idle_since: Time in seconds since which it has been idle.
    """

    def __init__(self, stream, address, now):
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request = None
        self._sending = False
        self._not_reusable = False
        self._pieces = 0
        self._idle_limit_s = DEFAULT_IDLE_S
        self.address = address
        self.refused = set()
        self.reused = False
        self.carried_call = False
        self.idle_since = now

    async def request(self, method, target, headers, body=b''):
        """Send a request and return the Head of its response.

        Raises:
            ConnectionBroken: No response head was received.
        """
        out = self._encode(method, target, headers, body)
        if len(body) <= SMALL_BODY_BYTES:
            await self._send(out)
            return await self.read_head()
        head = broken = None
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._send_ignoring_break, out)
            try:
                head = await self.read_head()
            except ConnectionBroken as exc:
                broken = exc
            tg.cancel_scope.cancel()
        if broken is not None:
            raise broken
        return head

    def _encode(self, method, target, headers, body):
        if body or method not in (b'GET', b'DELETE'):
            length = (b'Content-Length', b'%d' % len(body))
            headers = [*headers, length]
        try:
            self._request = h11.Request(
                method=method, target=target, headers=headers
            )
            out = self._h11.send(self._request)
        except h11.LocalProtocolError as exc:
            raise ConnectionBroken(
                f'expected a valid HTTP request to send, got {exc}',
                fate.Progress.CONNECTED,
            ) from exc
        if body:
            out += self._h11.send(h11.Data(data=body))
        return out + self._h11.send(h11.EndOfMessage())

    async def _send(self, out):
        self._sending = True
        try:
            await self._stream.send(out)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise ConnectionBroken(
                f'{self.address} closed while the request was sent',
                fate.Progress.SENDING,
            ) from exc
        self._sending = False

    async def _send_ignoring_break(self, out):
        # The server may respond although it no longer reads the body. After
        # an error `_sending` stays set, so the connection is not reused.
        with contextlib.suppress(ConnectionBroken):
            await self._send(out)

    async def read_head(self):
        """Return the Head of the response; raises ConnectionBroken."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event(fate.Progress.SENDING)
            if isinstance(event, h11.Response):
                return self._accept_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken(
                    f'expected a response from {self.address}, got the end '
                    'of the connection',
                    fate.Progress.SENDING,
                )
        raise ConnectionBroken(
            f'expected a response from {self.address} after at most '
            f'{MAX_INTERIM_RESPONSES} interim ones, got more',
            fate.Progress.SENDING,
        )

    def _accept_head(self, response):
        if not MIN_STATUS <= response.status_code <= MAX_STATUS:
            raise ConnectionBroken(
                f'expected an HTTP status from {self.address}, got '
                f'{response.status_code}',
                fate.Progress.SENDING,
            )
        self._note_keep_alive(response)
        return Head(response.status_code, tuple(response.headers))

    async def read_data(self):
        """Return the next bytes of the body, None after the last.

        Raises:
            ConnectionBroken: The connection failed before the body's end.
        """
        event = await self._next_event(fate.Progress.RESPONDING)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionBroken(
            f'expected the rest of a response from {self.address}, got the '
            'end of the connection',
            fate.Progress.RESPONDING,
        )

    async def read_body(self, max_bytes):
        """Return the complete body.

        Args:
            max_bytes: Largest body to accept. Many small pieces count as more
                than their bytes.

        Raises:
            BodyTooLarge: The body is larger.
            ConnectionBroken: The connection failed before the body's end.
        """
        body, cost = bytearray(), 0
        while (data := await self.read_data()) is not None:
            cost += max(len(data), MIN_PIECE_BYTES)
            if cost > max_bytes:
                raise BodyTooLarge(self.address, max_bytes)
            body += data
        return bytes(body)

    async def skip_response(self, max_bytes):
        """Skip a late response to another request; return the next Head.

        Args:
            max_bytes: Largest body to skip.

        Raises:
            ConnectionBroken: It is larger, or no response follows.
        """
        await self.read_body(max_bytes)
        self.expect_another_response()
        return await self.read_head()

    def expect_another_response(self):
        """Prepare to read a further response to the request that was sent."""
        rest, closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(self._request)
        if self._h11.our_state is not h11.DONE:
            # The body was sent before; this only updates the new parser.
            self._skip_body()
        if rest:
            self._h11.receive_data(rest)
        if closed:
            self._h11.receive_data(b'')
        self._not_reusable = True

    def _skip_body(self):
        length = dict(self._request.headers).get(b'content-length', b'0')
        if int(length):
            self._h11.send(h11.Data(data=bytes(int(length))))
        self._h11.send(h11.EndOfMessage())

    async def _next_event(self, progress):
        self._pieces += 1
        if self._pieces % PIECES_PER_CHECKPOINT == 0:
            await lowlevel.checkpoint()
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise ConnectionBroken(
                    f'expected HTTP from {self.address}, got {exc}', progress
                ) from exc
            if event is h11.NEED_DATA:
                await self._receive(progress)
            elif event is h11.PAUSED:
                raise ConnectionBroken(
                    'expected no bytes after the response of '
                    f'{self.address}, got some',
                    progress,
                )
            else:
                return event

    async def _receive(self, progress):
        try:
            data = await self._stream.receive()
        except anyio.EndOfStream:
            data = b''
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise ConnectionBroken(
                f'{self.address} reset the connection', progress
            ) from exc
        try:
            self._h11.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as exc:
            raise ConnectionBroken(
                f'expected no bytes from {self.address} after the end of the '
                'connection, got some',
                progress,
            ) from exc

    def _note_keep_alive(self, response):
        for name, value in response.headers:
            if name == b'keep-alive' and (found := _TIMEOUT.search(value)):
                stated = int(found.group(1)) - KEEP_ALIVE_MARGIN_S
                self._idle_limit_s = min(DEFAULT_IDLE_S, stated)

    def reset_for_reuse(self, now):
        """Prepare for another request; return whether that is possible.

        Args:
            now: Time in seconds.
        """
        ended = (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
        )
        if not ended or self._sending or self._not_reusable:
            return False
        self._h11.start_next_cycle()
        self.reused = True
        self.idle_since = now
        return True

    def is_usable(self, now, max_idle_s):
        """Return whether an idle connection may carry a request.

        Args:
            now: Time in seconds.
            max_idle_s: Longest idle time in seconds.
        """
        idle_s = now - self.idle_since
        if idle_s > min(max_idle_s, self._idle_limit_s):
            return False
        return not sockets.has_pending_input(sockets.raw_socket(self._stream))

    async def close(self):
        """Close immediately, even if a request is in progress."""
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self):
        self._idle = collections.defaultdict(collections.deque)
        self.opened_count = 0

    async def acquire(
        self,
        address,
        max_idle_s=DEFAULT_IDLE_S,
        is_suitable=lambda conn: True,
    ):
        """Return an idle connection, or a new one if none is usable.

        Args:
            address: Address of the server.
            max_idle_s: Longest idle time in seconds of a reused connection.
            is_suitable: Function that returns whether a Connection may be
                reused for this call. Others stay in the pool.

        Raises:
            ConnectionBroken: No connection could be established.
        """
        idle = self._idle[address]
        while suitable := [conn for conn in idle if is_suitable(conn)]:
            conn = suitable[-1]
            idle.remove(conn)
            if conn.is_usable(anyio.current_time(), max_idle_s):
                return conn
            await conn.close()
        return await self._open(address)

    async def _open(self, address):
        try:
            if not 0 < address.port <= MAX_PORT:
                raise ValueError(f'expected a port up to {MAX_PORT}')
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(address.host, address.port)
        except (OSError, TimeoutError, ValueError) as exc:
            # A host that is not a name is a ValueError.
            raise ConnectionBroken(
                f'cannot connect to {address}: {exc!r}',
                fate.Progress.CONNECTING,
            ) from exc
        sock = sockets.raw_socket(stream)
        sockets.enable_keepalive(sock)
        sockets.limit_buffers(sock)
        self.opened_count += 1
        return Connection(stream, address, anyio.current_time())

    async def open_idle(self, address):
        """Open a connection and keep it for the next request.

        Raises:
            ConnectionBroken: No connection could be established.
        """
        conn = await self._open(address)
        idle = self._idle[address]
        if len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(conn)
        else:
            await conn.close()

    async def is_refused(self, address):
        """Return whether an address refuses a new connection."""
        return await self.accepts(address) is False

    async def accepts(self, address):
        """Return whether an address accepts a new connection.

        None if that is not known in time. An established connection is kept
        for the next request.
        """
        conn = None
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            try:
                conn = await self._open(address)
            except ConnectionBroken:
                return False
        if conn is None:
            return None
        self._idle[address].append(conn)
        return True

    async def release(self, conn):
        """Keep a connection for reuse, or close it if that is impossible."""
        idle = self._idle[conn.address]
        now = anyio.current_time()
        if len(idle) < MAX_IDLE_PER_ADDRESS and conn.reset_for_reuse(now):
            idle.append(conn)
        else:
            await conn.close()

    async def close_idle_to(self, address):
        """Close the idle connections to an address."""
        idle = self._idle[address]
        # Others may use the connections meanwhile, so none that is being
        # closed stays among them.
        while idle:
            await idle.popleft().close()

    async def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            await self.close_idle_to(address)
