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


async def echo(request, out):
    await out.respond(200, [], request.target + b' ' + request.body)


@contextlib.asynccontextmanager
async def listening(
    handle=echo, stopping=lambda: False, limits=lambda: LIMITS
):
    """Yield a function that opens a connection to a listener."""
    listener = await anyio.create_tcp_listener(local_host=LISTEN_IP)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    address = backend.Address(LISTEN_IP, port)
    served = listeners.Listener(address, handle, stopping, limits)
    await served.listen()
    async with anyio.create_task_group() as tg:
        tg.start_soon(served.serve)
        yield lambda: anyio.connect_tcp(LISTEN_IP, port)
        tg.cancel_scope.cancel()


async def read_all(stream):
    """Return all that a stream receives until it ends."""
    parts = []
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            parts.append(await stream.receive())
    return b''.join(parts)
