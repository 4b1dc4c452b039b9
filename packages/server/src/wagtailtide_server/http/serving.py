"""HTTP server that runs the ASGI applications."""

import functools
import logging
import socket

import anyio
from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio

from wagtailtide_server import settings as settings_module

# The kernel closes a connection whose peer has acknowledged no data for this
# long, because the HTTP server has no write timeout of its own.
WRITE_TIMEOUT_MS = 30_000


class _HttpConfig(hypercorn_config.Config):
    """Hypercorn settings, with a write timeout on the sockets."""

    include_server_header = False
    include_date_header = False
    keep_alive_timeout = 75.0
    graceful_timeout = 1.0
    h11_max_incomplete_size = 32_768
    accesslog = None
    errorlog = logging.getLogger('wagtailtide_server.hypercorn')

    def create_sockets(self):
        """Create listening sockets; accepted ones inherit their options."""
        sockets = super().create_sockets()
        for sock in sockets.insecure_sockets:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                WRITE_TIMEOUT_MS,
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sockets


async def serve(application, address, task_status=anyio.TASK_STATUS_IGNORED):
    """Serve an ASGI application until cancelled.

    Args:
        application: The application.
        address: ``ip:port``; port 0 lets the kernel choose one.
        task_status: Receives the address once the server listens.

    Raises:
        SettingsError: If the address cannot be used.
    """
    cfg = _HttpConfig()
    cfg.bind = [address]
    _check_address_free(address)
    async with anyio.create_task_group() as group:
        binds = await group.start(
            functools.partial(hypercorn_trio.serve, mode='asgi'),
            application,
            cfg,
        )
        task_status.started(binds[0].removeprefix('http://'))


def _check_address_free(address):
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if '[' in host else socket.AF_INET
    try:
        socket.create_server(
            (host.strip('[]'), int(port)), family=family
        ).close()
    except OSError as exc:
        raise settings_module.SettingsError(
            [
                f'{address}: expected an address of this machine that is '
                f'free, got: {exc.strerror}; change the address or stop what '
                'uses it'
            ]
        ) from exc
