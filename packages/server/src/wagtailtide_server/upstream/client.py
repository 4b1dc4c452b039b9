"""HTTP client for attempts at backend servers."""

import contextlib
import dataclasses
import json
import re

import httpx
from wagtailtide_core.errors import kinds
from wagtailtide_core.retries import fate

from wagtailtide_server.upstream import failures

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 3.0

# Backend servers may drop an idle connection without notice; a short timeout
# limits how often a request uses such a connection.
IDLE_CONNECTION_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 33_554_432
MAX_ERROR_BYTES = 65_536

_LOAD_HEADER = re.compile(rb'running=(\d{1,9}),\s*waiting=(\d{1,9})')
_PROGRESS = {
    'connection.connect_tcp.complete': fate.Progress.CONNECTED,
    'http11.send_request_headers.started': fate.Progress.SENDING,
    'http11.receive_response_headers.complete': fate.Progress.RESPONDING,
}


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A request to a backend server.

    Attributes:
        address: ``ip:port``.
        method: HTTP method.
        target: Path with query, as received.
        headers: Pairs from headers.for_backend_server.
        body: Body in bytes.
        request_id: Id that the response must repeat in X-Request-Id; empty
            if it is not checked.
        new_connection: Whether to use a new connection.
        read_timeout_s: Seconds without a byte after which the connection
            counts as silent, or None for no limit.
    """

    address: str
    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]] = dataclasses.field(
        default_factory=list
    )
    body: bytes = b''
    request_id: str = ''
    new_connection: bool = True
    read_timeout_s: float | None = None


class Response:
    """Response to an attempt whose head has been received and checked.

    Attributes:
        status: HTTP status.
        headers: Pairs, names in lower case.
    """

    def __init__(self, response, state):
        self._response = response
        self._state = state
        self.status = response.status_code
        self.headers = [(n.lower(), v) for n, v in response.headers.raw]

    def header(self, name):
        """Return the value of a header in bytes, or None."""
        return next((v for n, v in self.headers if n == name), None)

    def reported_load(self):
        """Return ``(running, waiting)`` from the X-Load header, or None."""
        match = _LOAD_HEADER.fullmatch(self.header(b'x-load') or b'')
        return (int(match[1]), int(match[2])) if match else None

    async def read_chunk(self):
        """Return the next chunk of the body, or None at its end.

        Raises:
            AttemptError: If the connection broke or went silent.
        """
        if self._state.chunks is None:
            self._state.chunks = aiter(self._response.stream)
        with failures.mapped_errors(self._state):
            return await anext(self._state.chunks, None)

    async def read_body(self, limit_bytes=MAX_RESPONSE_BYTES):
        """Return the whole body.

        Raises:
            AttemptError: If it is longer than the limit or ends early.
        """
        parts, size = [], 0
        while (chunk := await self.read_chunk()) is not None:
            size += len(chunk)
            if size > limit_bytes:
                raise failures.AttemptError(
                    failures.FailureKind.WRONG_RESPONSE,
                    kinds.Fate.UNKNOWN,
                    f'expected a response of at most {limit_bytes} bytes, '
                    'got a longer one',
                )
            parts.append(chunk)
        return b''.join(parts)

    async def read_error(self):
        """Read an error response and return it as an AttemptError."""
        return error_from_response(
            self.status, await self.read_body(MAX_ERROR_BYTES)
        )


def error_from_response(status, body):
    """Return an error response as an AttemptError.

    Args:
        status: HTTP status.
        body: Body in bytes.
    """
    parsed = None
    with contextlib.suppress(ValueError):
        parsed = json.loads(body)
    reported_fate = fate.fate_of_refusal(parsed)
    error = parsed.get('error') if isinstance(parsed, dict) else None
    error = error if isinstance(error, dict) else {}
    return failures.AttemptError(
        failures.FailureKind.REFUSED
        if reported_fate is kinds.Fate.NOT_RUN
        else failures.FailureKind.ERROR_STATUS,
        reported_fate or kinds.Fate.UNKNOWN,
        str(error.get('message') or f'status {status}')[:200],
        error_kind=str(error.get('kind'))[:64] if 'kind' in error else None,
        status=status,
    )


@dataclasses.dataclass
class _AttemptState:
    progress: fate.Progress = fate.Progress.CONNECTING
    chunks: object = None


class Client:
    """Connections to backend servers.

    A connection whose response was not read to its end is closed by the
    transport and never used again.
    """

    def __init__(self):
        def transport(max_idle):
            # Addresses are plain ip:port without TLS; creating the default
            # TLS context would only cost start-up time.
            return httpx.AsyncHTTPTransport(
                verify=False,
                trust_env=False,
                limits=httpx.Limits(
                    max_connections=None,
                    max_keepalive_connections=max_idle,
                    keepalive_expiry=IDLE_CONNECTION_TIMEOUT_S,
                ),
            )

        self._pooled = transport(None)
        self._unpooled = transport(0)

    async def aclose(self):
        """Close all connections."""
        await self._pooled.aclose()
        await self._unpooled.aclose()

    @contextlib.asynccontextmanager
    async def open(self, attempt, on_sending=None):
        """Send an attempt and yield its Response.

        Args:
            attempt: The Attempt.
            on_sending: Called when the first byte is about to be sent.

        Raises:
            AttemptError: If there is no response, or it belongs to another
                request or its end cannot be detected.
        """
        state = _AttemptState()

        async def trace(event, _info):
            reached = _PROGRESS.get(event, state.progress)
            if reached == fate.Progress.SENDING and on_sending is not None:
                on_sending()
            state.progress = max(state.progress, reached)

        transport = self._unpooled if attempt.new_connection else self._pooled
        with failures.mapped_errors(state):
            response = await transport.handle_async_request(
                _build_request(attempt, trace)
            )
        try:
            checked = Response(response, state)
            _check_response(attempt, checked)
            yield checked
        finally:
            await response.aclose()

    async def probe(self, address, target=b'/healthz', timeout_s=1.0):
        """Send a GET request to a backend server on a new connection.

        Args:
            address: ``ip:port``.
            target: Path to request.
            timeout_s: Seconds without a byte after which the attempt fails.

        Returns:
            Status and body of the response.

        Raises:
            AttemptError: If there is no whole response.
        """
        request = Attempt(address, 'GET', target, read_timeout_s=timeout_s)
        async with self.open(request) as response:
            return response.status, await response.read_body()


def _build_request(attempt, trace):
    host, _, port = attempt.address.rpartition(':')
    url = httpx.URL(
        scheme='http',
        host=host.strip('[]'),
        port=int(port),
        raw_path=attempt.target,
    )
    return httpx.Request(
        attempt.method,
        url,
        headers=attempt.headers,
        content=attempt.body if attempt.body else None,
        extensions={
            'trace': trace,
            'timeout': {
                'connect': CONNECT_TIMEOUT_S,
                'read': attempt.read_timeout_s,
                'write': WRITE_TIMEOUT_S,
                'pool': CONNECT_TIMEOUT_S,
            },
        },
    )


def _check_response(attempt, response):
    if not attempt.request_id:
        return
    returned = response.header(b'x-request-id')
    if returned != attempt.request_id.encode():
        raise failures.AttemptError(
            failures.FailureKind.WRONG_RESPONSE,
            kinds.Fate.UNKNOWN,
            f'expected X-Request-Id {attempt.request_id}, got {returned!r}',
        )
    bodyless = attempt.method == 'HEAD' or response.status in (204, 304)
    if not bodyless and not (
        response.header(b'content-length') is not None
        or response.header(b'transfer-encoding') is not None
    ):
        # The end of such a body looks the same as a broken connection.
        raise failures.AttemptError(
            failures.FailureKind.WRONG_RESPONSE,
            kinds.Fate.UNKNOWN,
            'expected Content-Length or chunked encoding, got neither',
        )
