"""Open and accept connections between instances."""

import collections
import ipaddress
import logging

import anyio
import trio
from websockets import exceptions as ws_exceptions
from websockets.trio import client as ws_client
from websockets.trio import server as ws_server

from wagtailtide_server.peers import frames
from wagtailtide_server.peers import link as links

LOG = logging.getLogger(__name__)

OPEN_TIMEOUT_S = 1.0
# The library logs connections that _abort closes as internal errors.
_WS_LOG = logging.getLogger(f'{__name__}.websockets')
_WS_LOG.setLevel(logging.CRITICAL)
_OPTIONS = {
    'logger': _WS_LOG,
    'compression': None,
    'open_timeout': OPEN_TIMEOUT_S,
    # Heartbeats are Ping and Pong frames, which carry the confirmation age.
    'ping_interval': None,
    'close_timeout': 1.0,
    'max_size': frames.MAX_FRAME_BYTES,
}


class OpenFailed(Exception):
    """No connection was established, so no call was sent."""


def split_address(address):
    """Return host and port of ``ip:port``.

    Raises:
        ValueError: If it is not an IP address with a port.
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    ipaddress.ip_address(host)
    return host, int(port)


async def open_tcp(address):
    """Open a TCP connection to ``ip:port``."""
    host, port = split_address(address)
    return await trio.open_tcp_stream(host, port)


class Endpoint:
    """Opens and accepts an instance's connections, with their handshake.

    Attributes:
        bad_frames: Number of connections closed for a bad frame, by reason.
    """

    def __init__(self, make_welcome, check_peer, open_stream=open_tcp):
        """Create it.

        Args:
            make_welcome: Function that returns this instance's Welcome.
            check_peer: Function that is called with a Hello and the IP
                address of its connection; returns a reason to refuse the
                peer, or None.
            open_stream: Coroutine function that opens a trio stream to an
                address.
        """
        self._make_welcome = make_welcome
        self._check_peer = check_peer
        self._open_stream = open_stream
        self.bad_frames = collections.Counter()

    async def open(self, address, purpose, serve, expected=None):
        """Open a connection and serve it until it ends.

        Args:
            address: ``ip:port`` of the peer.
            purpose: ``link`` or ``call``.
            serve: Coroutine function called with the Link; it returns when
                the connection ends.
            expected: Name that the peer must have, or None for any name.

        Raises:
            OpenFailed: If no connection was established.
        """
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                stream = await self._open_stream(address)
        except (OSError, ValueError, TimeoutError) as exc:
            raise OpenFailed(f'{address}: {exc!r}') from exc
        established = False
        try:
            async with ws_client.connect(
                f'ws://{address}/',
                stream=stream,
                proxy=None,
                **_OPTIONS,
            ) as conn:
                peer = await self._handshake(conn, purpose, expected)
                established = True
                link = links.Link(conn, peer, True, purpose == 'link')
                await self._serve(serve, link)
                # The peer may have failed; the closing handshake would wait.
                await _abort(conn)
        except (
            OSError,
            TimeoutError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            ws_exceptions.WebSocketException,
            frames.FrameError,
        ) as exc:
            if not established:
                raise OpenFailed(f'{address}: {exc!r}') from exc

    async def _handshake(self, conn, purpose, expected):
        local = self._make_welcome()
        hello = frames.Hello(
            local.name,
            local.boot,
            local.incarnation,
            local.zone,
            local.region,
            local.address,
            purpose,
        )
        with anyio.fail_after(OPEN_TIMEOUT_S):
            await conn.send(frames.encode(hello))
            answer = frames.decode(await conn.recv())
        if isinstance(answer, frames.Refused):
            raise frames.FrameError(frames.UNEXPECTED, answer.reason)
        if not isinstance(answer, frames.Welcome):
            raise frames.FrameError(
                frames.UNEXPECTED, 'expected a welcome frame'
            )
        if answer.name == local.name or expected not in (None, answer.name):
            raise frames.FrameError(
                frames.NON_MEMBER,
                f'expected the instance {expected}, got {answer.name}',
            )
        return answer

    async def listen(self, address, serve, *, task_status):
        """Accept connections until cancelled.

        Args:
            address: ``ip:port`` to listen on; port 0 lets the kernel choose.
            serve: Coroutine function called with each Link.
            task_status: Receives the port when the listener is ready.
        """

        async def accept(conn):
            await self._accept(conn, serve)

        host, port = split_address(address)
        async with anyio.create_task_group() as tasks:
            server = await tasks.start(self._listen_on, accept, host, port)
            bound_port = server.listeners[0].socket.getsockname()[1]
            task_status.started(bound_port)

    async def _listen_on(self, accept, host, port, *, task_status):
        await ws_server.serve(
            accept, port, host=host, task_status=task_status, **_OPTIONS
        )

    async def _accept(self, conn, serve):
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                hello = await self._receive_hello(conn)
                local = self._make_welcome()
                await conn.send(frames.encode(local))
        except frames.FrameError as exc:
            self.bad_frames[exc.reason] += 1
            LOG.warning('peer refused', extra={'reason': str(exc)})
            with anyio.move_on_after(OPEN_TIMEOUT_S):
                await conn.send(frames.encode(frames.Refused(exc.reason)))
                await conn.aclose(1008, exc.reason)
            return
        except ws_exceptions.ConnectionClosed as exc:
            if links.closed_for_size(exc):
                self.bad_frames[frames.TOO_BIG] += 1
            return
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        link = links.Link(conn, hello, False, hello.purpose == 'link')
        await self._serve(serve, link)
        await _abort(conn)

    async def _receive_hello(self, conn):
        hello = frames.decode(await conn.recv())
        if not isinstance(hello, frames.Hello):
            raise frames.FrameError(
                frames.NON_MEMBER, 'expected a hello frame'
            )
        reason = self._check_peer(hello, conn.remote_address[0])
        if reason:
            raise frames.FrameError(frames.NON_MEMBER, reason)
        return hello

    async def _serve(self, serve, link):
        try:
            await serve(link)
        except* frames.FrameError as group:
            for exc in links.flatten_exceptions(group):
                self.bad_frames[exc.reason] += 1


async def _abort(conn):
    """Close a connection immediately, without the closing handshake."""
    with anyio.CancelScope(shield=True):
        await trio.aclose_forcefully(conn.stream)
