"""ASGI exchange of one request and its response."""

import dataclasses
import secrets

import anyio
from wagtailtide_core.errors import kinds

# Reading from a caller that sends too long a body continues for this long, so
# that the caller sees the response instead of a connection reset.
LINGER_TIMEOUT_S = 1.0

# Limits how long a caller can keep a request open without sending its body.
BODY_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Head:
    """Head of a request.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        raw_path: Path as received.
        query: Query as received.
        headers: Pairs, names in lower case.
        http_version: HTTP version, for example ``1.1``.
    """

    method: str
    path: str
    raw_path: bytes
    query: bytes
    headers: list[tuple[bytes, bytes]]
    http_version: str

    @classmethod
    def from_scope(cls, scope):
        """Build the head from an ASGI scope."""
        return cls(
            method=scope['method'],
            path=scope['path'],
            raw_path=scope['raw_path'],
            query=scope['query_string'],
            headers=[(n.lower(), v) for n, v in scope['headers']],
            http_version=scope['http_version'],
        )

    def header(self, name):
        """Return the value of a header as text, or None."""
        for found, value in self.headers:
            if found == name:
                return value.decode('latin-1').strip()
        return None

    @property
    def target(self):
        """Path with query, as received."""
        return self.raw_path + (b'?' + self.query if self.query else b'')


class Exchange:
    """A request that can still be read while its response is written.

    Attributes:
        head: Head of the request.
        request_id: The caller's request id.
        started: Whether the response's status was sent.
        disconnected: Event that is set when the caller has disconnected.
        key_id: Id of the key that was accepted, for logs.
        close_after_response: Whether the response closes the connection.
        history: AttemptHistory of the request, or None before its Call is
            created.
        outcome: Kind of error in the response, ``disconnected`` or ``ok``.
    """

    def __init__(self, scope, receive, send, max_body_bytes):
        self.head = Head.from_scope(scope)
        self.request_id = secrets.token_hex(12)
        self.started = False
        self.disconnected = anyio.Event()
        self.key_id = None
        self.close_after_response = False
        self.history = None
        self.outcome = 'ok'
        self._receive = receive
        self._send = send
        self._max_body_bytes = max_body_bytes
        self._parts = []
        self._size = 0
        self._body_settled = anyio.Event()
        self._body_complete = anyio.Event()
        self._write_lock = anyio.Lock()

    async def read_messages(self):
        """Receive ASGI messages until the caller disconnects.

        The HTTP server stops reading while its queue of body parts is full,
        so the body is read to its end even if it is too long.
        """
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                self.disconnected.set()
                self._body_settled.set()
                return
            self._size += len(message.get('body', b''))
            if self._size <= self._max_body_bytes:
                self._parts.append(message.get('body', b''))
            else:
                self._parts.clear()
                self._body_settled.set()
            if not message.get('more_body', False):
                self._body_complete.set()
                self._body_settled.set()

    async def read_body(self):
        """Return the whole body.

        Raises:
            ServingError: If it is too long or does not arrive in time.
        """
        declared = self.head.header(b'content-length') or '0'
        if declared.isdigit() and len(declared) > 18:
            declared = '9' * 18
        too_long = declared.isdigit() and int(declared) > self._max_body_bytes
        if not too_long:
            with anyio.move_on_after(BODY_TIMEOUT_S) as scope:
                await self._body_settled.wait()
            if scope.cancelled_caught or not self._body_complete.is_set():
                self._check_body_arrived()
        if too_long or self._size > self._max_body_bytes:
            await self._linger()
            raise kinds.ServingError(
                kinds.ErrorKind.REQUEST_TOO_LARGE,
                f'expected a body of at most {self._max_body_bytes} bytes, '
                'got a longer one; send a shorter body',
            )
        return b''.join(self._parts)

    def _check_body_arrived(self):
        if self._size <= self._max_body_bytes:
            raise kinds.ServingError(
                kinds.ErrorKind.MALFORMED_REQUEST,
                f'expected the whole body within {BODY_TIMEOUT_S:g} s, got '
                'a part of it; send the request again',
            )

    async def _linger(self):
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            await self._body_complete.wait()

    async def start(self, status, headers):
        """Send the status and the headers of the response."""
        async with self._write_lock:
            await self._start(status, headers)

    async def _start(self, status, headers):
        if self.started:
            return
        self.started = True
        close = self.close_after_response or not self._body_complete.is_set()
        connection_headers = [(b'connection', b'close')] if close else []
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [*headers, *connection_headers],
            }
        )

    async def write(self, data):
        """Send part of the response's body."""
        async with self._write_lock:
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': data,
                    'more_body': True,
                }
            )

    async def end(self, data=b''):
        """Send the last part of the response's body."""
        async with self._write_lock:
            await self._send({'type': 'http.response.body', 'body': data})

    async def respond(self, status, headers, body):
        """Send a whole response."""
        length = (b'content-length', str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.end(body)
