"""Accepts connections, as many as the instance can hold."""

import logging

import anyio

from wagtailtide_gateway.http import incoming
from wagtailtide_gateway.http import resources as resources_
from wagtailtide_gateway.http import sockets
from wagtailtide_gateway.model import deployment

LOG = logging.getLogger(__name__)

# Delay before connections are accepted again after an error.
ACCEPT_RETRY_DELAY_S = 0.1

# Connections that the kernel accepts before this process does.
BACKLOG = 512


def _default_limits():
    return deployment.CallerLimits()


class Listener:
    """Accepts connections at one address.

    Args:
        address: The Address.
        handle: Coroutine function from (IncomingRequest, Responder).
        stopping: Function that returns whether the process is stopping.
        limits: Function that returns the CallerLimits in force.
        resources: Resources of the instance, None for some of its own.
        max_open: Number of connections, None for that of callers.
        for_instances: Whether other instances connect there.
    """

    def __init__(
        self,
        address,
        handle,
        stopping,
        limits=_default_limits,
        resources=None,
        max_open=None,
        for_instances=False,
    ):
        self._resources = resources or resources_.make()
        self._max_open = max_open or self._resources.budget.limits.callers
        self._for_instances = for_instances
        self._address = address
        self._handle = handle
        self._stopping = stopping
        self._open = set()
        self._listener = None
        self._limits = limits

    async def listen(self):
        """Bind the address; raises OSError."""
        self._listener = await anyio.create_tcp_listener(
            local_host=self._address.host,
            local_port=self._address.port,
            backlog=BACKLOG,
        )
        sockets.limit_buffers(
            sockets.raw_socket(self._listener), sockets.ACCEPTED_BUFFER_BYTES
        )

    async def serve(self):
        """Serve connections until cancelled."""
        sock = sockets.raw_socket(self._listener)
        async with self._listener, anyio.create_task_group() as tg:
            while True:
                try:
                    stream = await sockets.accept(sock)
                except OSError as exc:
                    # For example, no file descriptor is left. The open
                    # connections are served on.
                    LOG.error(
                        'cannot accept a connection',
                        extra={'reason': repr(exc)},
                    )
                    await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                else:
                    tg.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream):
        with self._resources.budget.open(
            stream,
            str(self._address),
            self._max_open,
            is_instance=self._for_instances,
        ) as holding:
            conn = incoming.CallerConnection(
                stream,
                self._handle,
                self._limits,
                self._stopping,
                self._resources,
                holding,
            )
            self._open.add(conn)
            try:
                await conn.serve()
            except Exception:
                # An error on one connection must not end the others.
                LOG.exception('unexpected error on a connection')
            finally:
                self._open.discard(conn)

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._open)

    @property
    def busy_count(self):
        """Number of connections with a request in progress."""
        return sum(conn.busy for conn in self._open)

    def close_idle(self):
        """Close connections that have no request in progress."""
        for conn in tuple(self._open):
            conn.close_if_idle()

    def close_all(self):
        """Close all connections, whatever they are doing."""
        for conn in tuple(self._open):
            conn.close()
