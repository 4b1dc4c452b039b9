"""A listener on loopback, and callers' ways to use it."""

import contextlib

import anyio
from wagtailtide_gateway.http import listeners
from wagtailtide_gateway.model import backend
from wagtailtide_gateway.model import deployment

LIMITS = deployment.CallerLimits(
    max_header_bytes=1_000,
    max_body_bytes=100,
    header_timeout_s=3.0,
    idle_timeout_s=5.0,
)

# Outgoing loopback connections use 127.0.0.1, so they cannot occupy a port of
# this address.
LISTEN_IP = '127.0.0.2'

REQUEST = b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'


async def echo(request, out):
    await out.respond(200, [], request.target + b' ' + request.body)


async def make_listener(
    handle=echo, stopping=lambda: False, limits=lambda: LIMITS, resources=None
):
    """Return a Listener that is bound, and has its port as an attribute."""
    free = await anyio.create_tcp_listener(local_host=LISTEN_IP)
    port = free.extra(anyio.abc.SocketAttribute.local_port)
    await free.aclose()
    address = backend.Address(LISTEN_IP, port)
    served = listeners.Listener(address, handle, stopping, limits, resources)
    served.port = port
    await served.listen()
    return served


@contextlib.asynccontextmanager
async def serving(*args, **options):
    """Yield a Listener that serves; arguments as those of make_listener."""
    served = await make_listener(*args, **options)
    async with anyio.create_task_group() as tg:
        tg.start_soon(served.serve)
        yield served
        tg.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def listening(*args, **options):
    """Yield a function that opens a connection to a listener."""
    async with serving(*args, **options) as served:
        yield lambda: anyio.connect_tcp(LISTEN_IP, served.port)


async def read_all(stream):
    """Return all that a stream receives until it ends."""
    parts = []
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            parts.append(await stream.receive())
    return b''.join(parts)


async def send_until_blocked(stream, data, max_bytes, blocked_s):
    """Send one piece again and again; return the bytes that were taken.

    Args:
        stream: The stream.
        data: The piece.
        max_bytes: Bytes after which no more is sent.
        blocked_s: Time after which a piece counts as not taken.
    """
    sent = 0
    with contextlib.suppress(anyio.BrokenResourceError):
        while sent < max_bytes:
            with anyio.move_on_after(blocked_s) as scope:
                await stream.send(data)
            if scope.cancelled_caught:
                break
            sent += len(data)
    return sent
