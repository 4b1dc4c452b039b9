"""One connection between two instances."""

import itertools
import logging

import anyio
import trio
from wagtailtide_core.membership import detector
from websockets import exceptions as ws_exceptions

from wagtailtide_server.peers import frames

LOG = logging.getLogger(__name__)

# Frames waiting for a peer that does not read; more means that it is gone.
MAX_WAITING_FRAMES = 512
WRITE_TIMEOUT_S = 3.0
PINGS_REMEMBERED = 16


class LinkClosed(Exception):
    """The connection is closed; the frame was not sent."""


class Link:
    """Frames over one WebSocket connection, with heartbeats.

    Attributes:
        peer: Hello or Welcome of the other side.
        opened_here: Whether this instance opened the connection.
        heartbeats: Whether it is a link, not a connection for calls.
        health: When it was last heard.
        closed: Set when it is closed.
        sent_bytes: Bytes of the frames sent.
        answered: Whether the peer answered a ping on it.
        used_at: When it last carried a call.
    """

    def __init__(self, conn, peer, opened_here, heartbeats):
        self.peer = peer
        self.opened_here = opened_here
        self.health = detector.LinkHealth(anyio.current_time())
        self.closed = anyio.Event()
        self.sent_bytes = 0
        self.answered = False
        self.used_at = anyio.current_time()
        self._conn = conn
        self.heartbeats = heartbeats
        self._scope = anyio.CancelScope()
        self._pings = {}
        self._numbers = itertools.count(1)
        self._calls = {}
        self._call_ids = itertools.count(1)
        self._to_send, self._waiting = anyio.create_memory_object_stream(
            MAX_WAITING_FRAMES
        )

    @property
    def name(self):
        """Name of the peer."""
        return self.peer.name

    def usable(self, now):
        """Return whether it is open and was heard recently."""
        return not self.closed.is_set() and not self.health.silent(now)

    def send(self, frame):
        """Queue a frame.

        Raises:
            LinkClosed: If it is closed or the peer does not read.
            FrameError: If the frame is too big.
        """
        if self.closed.is_set():
            raise LinkClosed(self.name)
        data = frames.encode(frame)
        try:
            self._to_send.send_nowait(data)
        except (anyio.WouldBlock, anyio.BrokenResourceError) as exc:
            self.close()
            raise LinkClosed(f'{self.name} does not read') from exc

    def close(self):
        """Close the connection without waiting for the peer."""
        self.closed.set()
        self._scope.cancel()

    async def run(self, handle, on_pong, pong):
        """Serve the connection until it ends.

        Args:
            handle: Function called with each frame other than heartbeats
                and replies.
            on_pong: Function called with each Pong and the time its ping
                was sent.
            pong: Function that returns the Pong to a ping number.

        Raises:
            FrameError: If the peer sent a bad frame; it has been told.
        """
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    if self.heartbeats:
                        tasks.start_soon(self._ping)
                    await self._read(handle, on_pong, pong)
                    tasks.cancel_scope.cancel()
        except* (
            ws_exceptions.ConnectionClosed,
            LinkClosed,
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            pass
        finally:
            self.closed.set()
            for waiting in self._calls.values():
                waiting.set()
            self._to_send.close()
            self._waiting.close()

    async def call(self, op, body, timeout_s):
        """Send a call and return its Reply, or None if none came in time.

        Raises:
            LinkClosed: If the call was certainly not sent.
        """
        number = next(self._call_ids)
        waiting = _Waiting()
        self._calls[number] = waiting
        self.used_at = anyio.current_time()
        try:
            self.send(frames.Call(number, op, body))
            with anyio.move_on_after(timeout_s):
                await waiting.event.wait()
            return waiting.reply
        finally:
            del self._calls[number]

    async def _read(self, handle, on_pong, pong):
        while True:
            data = await self._receive()
            self.health.hear(anyio.current_time())
            try:
                self._dispatch(frames.decode(data), handle, on_pong, pong)
            except frames.FrameError as exc:
                await self._refuse(exc)
                raise

    async def _receive(self):
        try:
            return await self._conn.recv()
        except ws_exceptions.ConnectionClosed as exc:
            if closed_for_size(exc):
                raise frames.FrameError(frames.TOO_BIG) from exc
            raise

    def _dispatch(self, frame, handle, on_pong, pong):
        if isinstance(frame, frames.Ping):
            self.send(pong(frame.n))
        elif isinstance(frame, frames.Pong):
            sent_at = self._pings.pop(frame.n, None)
            # A pong to no ping of ours would understate the round trip.
            if sent_at is not None:
                self.answered = True
                on_pong(self, frame, sent_at)
        elif isinstance(frame, frames.Reply):
            waiting = self._calls.get(frame.id)
            if waiting is not None:
                waiting.set(frame)
        elif isinstance(frame, frames.Refused):
            LOG.info(
                'peer closed the link',
                extra={'peer': self.name, 'reason': frame.reason},
            )
            self.close()
        elif isinstance(frame, frames.Hello | frames.Welcome):
            raise frames.FrameError(frames.UNEXPECTED, 'second hello')
        else:
            self.used_at = anyio.current_time()
            handle(self, frame)

    async def _refuse(self, exc):
        LOG.warning(
            'bad frame; closing the link',
            extra={'peer': self.name, 'reason': exc.reason},
        )
        with anyio.move_on_after(1.0):
            await self._conn.send(frames.encode(frames.Refused(exc.reason)))
            await self._conn.aclose(1008, exc.reason)

    async def _write(self):
        async for data in self._waiting:
            try:
                with anyio.fail_after(WRITE_TIMEOUT_S):
                    await self._conn.send(data)
            except ws_exceptions.ConnectionClosed:
                # The reader knows why it was closed.
                return
            self.sent_bytes += len(data)

    async def _ping(self):
        while True:
            number = next(self._numbers)
            self._pings[number] = anyio.current_time()
            self._pings.pop(number - PINGS_REMEMBERED, None)
            self.send(frames.Ping(number))
            await anyio.sleep(detector.PING_INTERVAL_S)


def closed_for_size(exc):
    """Return whether the library closed because of a message's size."""
    return exc.sent is not None and exc.sent.code == 1009


class _Waiting:
    def __init__(self):
        self.event = anyio.Event()
        self.reply = None

    def set(self, reply=None):
        self.reply = reply
        self.event.set()


def leaves(group):
    """Return the exceptions of a group, without nesting."""
    return [
        leaf
        for exc in group.exceptions
        for leaf in (leaves(exc) if isinstance(exc, ExceptionGroup) else [exc])
    ]
