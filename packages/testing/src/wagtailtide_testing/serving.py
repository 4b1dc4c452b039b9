"""Serve ASGI apps with hypercorn on loopback ports chosen by the kernel.

``scope['state']['connection']`` is the `Connection` on which a request
arrived, so that a stand-in can reset it without a response. No lifespan events
are sent.
"""

import contextlib
import functools
import socket
import struct

from hypercorn import config as hypercorn_config
from hypercorn import typing as hypercorn_typing
from hypercorn import utils
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import trio

from wagtailtide_testing import ports

HOST = '127.0.0.1'

# Longer than any client in this repository keeps an idle connection, so that
# no request is sent on a connection that the server is closing.
KEEP_ALIVE_TIMEOUT_S = 75.0

# SO_LINGER value with which close() sends a RST and leaves no TIME_WAIT state
# on the port.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Connection:
    """Accepted connection.

    Attributes:
        silent: Whether the stand-in has stopped responding on it.
    """

    def __init__(self, stream):
        self._stream = stream
        self._scope = trio.CancelScope()
        self.silent = False

    async def run(self, server):
        """Serve the connection until it is closed or aborted."""
        try:
            with self._scope:
                await server
        finally:
            self._stream.socket.close()

    def abort(self):
        """Reset the connection immediately, without a response."""
        with contextlib.suppress(OSError):
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._scope.cancel()


class RestartableServer:
    """Server of an app that can be stopped and restarted on its port.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, app, nursery, port):
        self._app = utils.wrap_app(app, 16 * 1024 * 1024, 'asgi')
        self._nursery = nursery
        self._cfg = hypercorn_config.Config()
        self._cfg.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
        self._scope = None
        self._stopped = None
        self.port = port

    @property
    def address(self):
        """Address as ``ip:port``."""
        return f'{HOST}:{self.port}'

    @property
    def url(self):
        """Base URL."""
        return f'http://{self.address}'

    async def start(self):
        """Start to listen and accept connections.

        Raises:
            OSError: The port is in use.
        """
        listeners = await trio.open_tcp_listeners(self.port, host=HOST)
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._nursery.start_soon(self._serve, listeners)

    async def stop(self):
        """Stop listening and reset all connections, like a crash."""
        if self._scope is not None:
            self._scope.cancel()
            await self._stopped.wait()
            self._scope = None

    async def _serve(self, listeners):
        context = worker_context.WorkerContext(None)
        handler = functools.partial(self._handle, context)
        try:
            with self._scope:
                await trio.serve_listeners(handler, listeners)
        finally:
            for listener in listeners:
                listener.socket.close()
            self._stopped.set()

    async def _handle(self, context, stream):
        conn = Connection(stream)
        state = hypercorn_typing.ConnectionState({'connection': conn})
        await conn.run(
            tcp_server.TCPServer(self._app, self._cfg, context, state, stream)
        )


@contextlib.asynccontextmanager
async def serve_restartable(app, port=0):
    """Serve an app while the context is active.

    Args:
        app: ASGI app.
        port: Loopback port; 0 lets the kernel choose one, which stays reserved
            while the server is stopped.

    Yields:
        The started `RestartableServer`.
    """
    async with contextlib.AsyncExitStack() as stack:
        if not port:
            (port,) = stack.enter_context(ports.reserve(HOST, 1))
        nursery = await stack.enter_async_context(trio.open_nursery())
        served = RestartableServer(app, nursery, port)
        await served.start()
        try:
            yield served
        finally:
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serve(app, port=0):
    """Serve an app while the context is active; yield its base URL."""
    async with serve_restartable(app, port) as served:
        yield served.url
