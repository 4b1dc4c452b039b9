"""Minimal ASGI layer shared by the stand-ins, with fault injection.

An app made by `make_app` can reset connections without a response. It can
also stop sending on its open connections while new ones work.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import urllib.parse
import weakref

import anyio

# More than the longest tests send. Bounds the memory of long soak runs.
MAX_RECORDED_REQUESTS = 50_000

_STATUSES_WITHOUT_BODY = {204, 304}


class DropConnection(Exception):
    """Raised by a handler to reset the connection without a response."""


class BadRequest(Exception):
    """Raised by a handler when the request is malformed (400)."""


@dataclasses.dataclass
class Request:
    """HTTP request and the means to respond to it.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        query: Query parameters by name; the last value of each.
        query_string: Query string as received.
        headers: Pairs of lower-case name and value, in the order received.
        body: Body.
        connection: `serving.Connection`, or None if the app is served by
            another server than `serving`.
        send: ASGI send function that blocks on a silent connection.
        disconnected: Event that is set when the client has disconnected.
        scopes: Scopes that are cancelled when the client disconnects.
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

    def cancel_on_disconnect(self, scope):
        """Cancel a scope if the client disconnects during the response."""
        self.scopes.append(scope)
        if self.disconnected.is_set():
            scope.cancel()

    def header(self, name, default=None):
        """Return the last value of a header, given by lower-case name."""
        matches = [value for key, value in self.headers if key == name]
        return matches[-1] if matches else default

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
        """Send the status line and the headers."""
        encoded = [(k.encode(), str(v).encode()) for k, v in headers]
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': encoded,
            }
        )

    async def write(self, data, *, more=True):
        """Send part of the body."""
        if not more:
            # The server also reports a disconnect after a complete response.
            self.scopes.clear()
        await self.send(
            {'type': 'http.response.body', 'body': data, 'more_body': more}
        )

    async def reply(self, status, value=None, headers=()):
        """Send a complete JSON response."""
        data = b'' if value is None else json.dumps(value).encode()
        length = [('content-length', len(data))]
        await self.start(
            status,
            [
                ('content-type', 'application/json'),
                *([] if status in _STATUSES_WITHOUT_BODY else length),
                *headers,
            ],
        )
        await self.write(data, more=False)

    async def reply_truncated(self, status, value, headers=()):
        """Send half of a JSON response, then reset the connection."""
        data = json.dumps(value).encode()
        await self.start(status, [('content-length', len(data)), *headers])
        await self.write(data[: len(data) // 2])
        raise DropConnection

    def as_record(self):
        """Return the request as received, as a JSON value."""
        return {
            'method': self.method,
            'path': self.path,
            'query': self.query_string,
            'headers': [list(pair) for pair in self.headers],
            'body': self.body.decode('utf-8', 'backslashreplace'),
        }


class Recorder:
    """Records requests and keeps track of open connections.

    Args:
        limit: Maximum number of requests to keep; the oldest are dropped.
    """

    def __init__(self, limit=MAX_RECORDED_REQUESTS):
        self.requests = collections.deque(maxlen=limit)
        self._connections = weakref.WeakSet()

    def record(self, req):
        """Record a request and its connection."""
        if req.connection is not None:
            self._connections.add(req.connection)
        if not req.path.startswith('/admin/'):
            self.requests.append(req.as_record())

    def silence_all(self):
        """Make every open connection silent permanently."""
        for conn in list(self._connections):
            conn.silent = True

    def abort_all(self, keep_conn=None):
        """Reset every open connection except `keep_conn`."""
        for conn in list(self._connections):
            if conn is not keep_conn:
                conn.abort()


def set_faults(faults, values):
    """Set fields of a faults object from a mapping.

    Raises:
        BadRequest: A field is unknown.
    """
    known = {field.name for field in dataclasses.fields(faults)}
    unknown = sorted(set(values) - known)
    if unknown:
        raise BadRequest(f'expected fields of {sorted(known)}, got {unknown}')
    for name, value in values.items():
        setattr(faults, name, value)


def consume_fault(faults, name):
    """Decrement the remaining count of a fault; return whether it applies."""
    remaining = getattr(faults, name)
    if remaining <= 0:
        return False
    setattr(faults, name, remaining - 1)
    return True


def make_app(handle, recorder):
    """Return an ASGI app.

    Args:
        handle: Coroutine function that responds to a `Request`.
        recorder: `Recorder` of requests and connections.
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
            recorder.record(req)
            await _respond(handle, req)
            tg.cancel_scope.cancel()

    return app


async def _respond(handle, req):
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
