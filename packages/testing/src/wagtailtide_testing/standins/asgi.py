"""Small ASGI layer that the stand-ins share: requests, answers, faults.

An app made by `make_app` can drop connections without an answer and can make
its open connections silent while new ones work.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import urllib.parse
import weakref

import anyio

# Enough for the longest tests; bounds the memory of a long soak run.
RECORDED_REQUESTS = 50_000

_BODYLESS = {204, 304}


class DropConnection(Exception):
    """Raised by a handler to reset the connection without an answer."""


class BadRequest(Exception):
    """Raised by a handler when the request is malformed (400)."""


@dataclasses.dataclass
class Request:
    """One request.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        query: Query parameters; the last value of each.
        query_string: Query as received.
        headers: Pairs of lower-case name and value, as received.
        body: Body.
        connection: Connection, or None when not served by our server.
        send: ASGI send function, silent when the connection is.
        disconnected: Event that is set when the client has gone.
        scopes: Scopes that are cancelled when the client has gone.
    """

    method: str
    path: str
    query: dict[str, str]
    query_string: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: object
    send: Callable[[dict], Awaitable[None]]
    disconnected: anyio.Event
    scopes: list[anyio.CancelScope] = dataclasses.field(default_factory=list)

    def cancel_when_gone(self, scope):
        """Cancel a scope if the client goes before the answer's end."""
        self.scopes.append(scope)
        if self.disconnected.is_set():
            scope.cancel()

    def header(self, name, default=None):
        """Return the last value of a header."""
        found = [value for key, value in self.headers if key == name]
        return found[-1] if found else default

    def json(self):
        """Return the body as a JSON object.

        Raises:
            BadRequest: The body is not a JSON object.
        """
        try:
            value = json.loads(self.body or b'{}')
        except ValueError as exc:
            raise BadRequest(f'expected a JSON body: {exc}') from exc
        if not isinstance(value, dict):
            raise BadRequest('expected a JSON object as body')
        return value

    async def start(self, status, headers=()):
        """Send the status line and headers."""
        raw = [(k.encode(), str(v).encode()) for k, v in headers]
        await self.send(
            {'type': 'http.response.start', 'status': status, 'headers': raw}
        )

    async def write(self, data, *, more=True):
        """Send a part of the body."""
        if not more:
            # The server reports a disconnect also after a whole answer.
            self.scopes.clear()
        await self.send(
            {'type': 'http.response.body', 'body': data, 'more_body': more}
        )

    async def reply(self, status, value=None, headers=()):
        """Send a whole JSON answer."""
        data = b'' if value is None else json.dumps(value).encode()
        length = [('content-length', len(data))]
        await self.start(
            status,
            [
                ('content-type', 'application/json'),
                *([] if status in _BODYLESS else length),
                *headers,
            ],
        )
        await self.write(data, more=False)

    async def cut(self, status, value, headers=()):
        """Send half of a JSON answer, then reset the connection."""
        data = json.dumps(value).encode()
        await self.start(status, [('content-length', len(data)), *headers])
        await self.write(data[: len(data) // 2])
        raise DropConnection

    def as_record(self):
        """Return everything that was received, as JSON values."""
        return {
            'method': self.method,
            'path': self.path,
            'query': self.query_string,
            'headers': [list(pair) for pair in self.headers],
            'body': self.body.decode('utf-8', 'backslashreplace'),
        }


class Recorder:
    """Requests that arrived and connections that are open.

    Args:
        limit: Number of latest requests to keep.
    """

    def __init__(self, limit=RECORDED_REQUESTS):
        self.requests = collections.deque(maxlen=limit)
        self._connections = weakref.WeakSet()

    def note(self, req):
        """Record a request and its connection."""
        if req.connection is not None:
            self._connections.add(req.connection)
        if not req.path.startswith('/admin/'):
            self.requests.append(req.as_record())

    def silence_all(self):
        """Make every open connection silent for good."""
        for conn in list(self._connections):
            conn.silent = True

    def abort_all(self, keep=None):
        """Reset every open connection but one."""
        for conn in list(self._connections):
            if conn is not keep:
                conn.abort()


def set_faults(faults, values):
    """Set fields of a faults object from a JSON object.

    Raises:
        BadRequest: A field is unknown.
    """
    known = {field.name for field in dataclasses.fields(faults)}
    unknown = sorted(set(values) - known)
    if unknown:
        raise BadRequest(f'expected fields of {sorted(known)}, got {unknown}')
    for name, value in values.items():
        setattr(faults, name, value)


def take_one(faults, name):
    """Count a fault of limited number down; tell whether it applies."""
    left = getattr(faults, name)
    if left <= 0:
        return False
    setattr(faults, name, left - 1)
    return True


def make_app(handle, recorder):
    """Return an ASGI app.

    Args:
        handle: Coroutine function that takes a `Request` and answers it.
        recorder: Where requests are recorded.
    """

    async def app(scope, receive, send):
        if scope['type'] != 'http':
            return
        body = await _read_body(receive)
        if body is None:
            return
        async with anyio.create_task_group() as tg:
            req = _make_request(scope, body, send)
            tg.start_soon(_watch_disconnect, receive, req)
            recorder.note(req)
            await _answer(handle, req)
            tg.cancel_scope.cancel()

    return app


async def _answer(handle, req):
    try:
        if req.connection is not None and req.connection.silent:
            await req.disconnected.wait()
            return
        await handle(req)
    except BadRequest as exc:
        error = {
            'kind': 'malformed_request',
            'message': str(exc),
            'fate': 'not_run',
        }
        await req.reply(400, {'error': error})
    except DropConnection:
        if req.connection is None:
            raise
        req.connection.abort()


async def _read_body(receive):
    parts = []
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        parts.append(message.get('body', b''))
        if not message.get('more_body', False):
            return b''.join(parts)


async def _watch_disconnect(receive, req):
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            req.disconnected.set()
            for scope in req.scopes:
                scope.cancel()
            return


def _make_request(scope, body, send):
    conn = scope.get('state', {}).get('connection')
    disconnected = anyio.Event()

    async def send_unless_silent(message):
        if conn is not None and conn.silent:
            await disconnected.wait()
            raise DropConnection
        await send(message)

    query = scope['query_string'].decode('latin-1')
    return Request(
        method=scope['method'],
        path=scope['path'],
        query=dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
        query_string=query,
        headers=tuple(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in scope['headers']
        ),
        body=body,
        connection=conn,
        send=send_unless_silent,
        disconnected=disconnected,
    )
