"""Connection between two instances."""

import itertools
import logging

import anyio
import trio
from wagtailtide_core.membership import detector
from websockets import exceptions as ws_exceptions

from wagtailtide_server.peers import frames

LOG = logging.getLogger(__name__)

# A full queue means that the peer does not read, and closes the link.
MAX_QUEUED_FRAMES = 512
WRITE_TIMEOUT_S = 3.0
MAX_PINGS_TRACKED = 16


class LinkClosed(Exception):
    """The connection is closed; the frame was not sent."""


class Link:
    """Frames over one WebSocket connection.

    It is either a link, which has heartbeats, or was opened for calls.

    Attributes:
        peer: Hello or Welcome of the other side.
        opened_here: Whether this instance opened the connection.
        sends_heartbeats: Whether it is a link.
        health: LinkHealth, which records when the peer sent frames.
        closed: Event that is set when it is closed.
        sent_bytes: Bytes of the frames sent.
        pong_received: Whether the peer has answered a ping on it.
        last_used_at: Time of its creation or of its last frame other than
            heartbeats and replies, in seconds of the event loop's clock.
    """

    def __init__(self, conn, peer, opened_here, sends_heartbeats):
        self.peer = peer
        self.opened_here = opened_here
        self.health = detector.LinkHealth(anyio.current_time())
        self.closed = anyio.Event()
        self.sent_bytes = 0
        self.pong_received = False
        self.last_used_at = anyio.current_time()
        self._conn = conn
        self.sends_heartbeats = sends_heartbeats
        self._scope = anyio.CancelScope()
        self._ping_sent_at = {}
        self._ping_numbers = itertools.count(1)
        self._pending_calls = {}
        self._call_ids = itertools.count(1)
        self._send_queue, self._queued_frames = (
            anyio.create_memory_object_stream(MAX_QUEUED_FRAMES)
        )

    @property
    def name(self):
        """Name of the peer."""
        return self.peer.name

    def is_usable(self, now):
        """Return whether it is open and the peer sent a frame recently."""
        return not self.closed.is_set() and not self.health.is_silent(now)

    def send(self, frame):
        """Queue a frame.

        Raises:
            LinkClosed: If it is closed, or the queue is full because the peer
                does not read.
            FrameError: If the frame is too big.
        """
        if self.closed.is_set():
            raise LinkClosed(self.name)
        data = frames.encode(frame)
        try:
            self._send_queue.send_nowait(data)
        except (anyio.WouldBlock, anyio.BrokenResourceError) as exc:
            self.close()
            raise LinkClosed(f'{self.name} does not read') from exc

    def close(self):
        """Close the connection without waiting for the peer."""
        self.closed.set()
        self._scope.cancel()

    async def run(self, handle_frame, on_pong, make_pong):
        """Serve the connection until it ends.

        Args:
            handle_frame: Function called with the Link and each frame other
                than heartbeats and replies.
            on_pong: Function called with the Link, each Pong and the time
                its ping was sent.
            make_pong: Function that returns the Pong for a ping number.

        Raises:
            FrameError: If the peer sent a bad frame; the reason has been sent
                to it.
        """
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    if self.sends_heartbeats:
                        tasks.start_soon(self._ping)
                    await self._read(handle_frame, on_pong, make_pong)
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
            for pending in self._pending_calls.values():
                pending.set()
            self._send_queue.close()
            self._queued_frames.close()

    async def call(self, op, body, timeout_s):
        """Send a call and return its Reply, or None if none came in time.

        Raises:
            LinkClosed: If the call was certainly not sent.
        """
        number = next(self._call_ids)
        pending = _PendingCall()
        self._pending_calls[number] = pending
        self.last_used_at = anyio.current_time()
        try:
            self.send(frames.Call(number, op, body))
            with anyio.move_on_after(timeout_s):
                await pending.event.wait()
            return pending.reply
        finally:
            del self._pending_calls[number]

    async def _read(self, handle_frame, on_pong, make_pong):
        while True:
            data = await self._receive()
            self.health.record_frame(anyio.current_time())
            try:
                self._dispatch(
                    frames.decode(data), handle_frame, on_pong, make_pong
                )
            except frames.FrameError as exc:
                await self._send_refusal(exc)
                raise

    async def _receive(self):
        try:
            return await self._conn.recv()
        except ws_exceptions.ConnectionClosed as exc:
            if closed_for_size(exc):
                raise frames.FrameError(frames.TOO_BIG) from exc
            raise

    def _dispatch(self, frame, handle_frame, on_pong, make_pong):
        if isinstance(frame, frames.Ping):
            self.send(make_pong(frame.n))
        elif isinstance(frame, frames.Pong):
            sent_at = self._ping_sent_at.pop(frame.n, None)
            # A Pong to an unknown ping would understate the round trip.
            if sent_at is not None:
                self.pong_received = True
                on_pong(self, frame, sent_at)
        elif isinstance(frame, frames.Reply):
            pending = self._pending_calls.get(frame.id)
            if pending is not None:
                pending.set(frame)
        elif isinstance(frame, frames.Refused):
            LOG.info(
                'peer closed the link',
                extra={'peer': self.name, 'reason': frame.reason},
            )
            self.close()
        elif isinstance(frame, frames.Hello | frames.Welcome):
            raise frames.FrameError(
                frames.UNEXPECTED, 'expected one hello or welcome, got another'
            )
        else:
            self.last_used_at = anyio.current_time()
            handle_frame(self, frame)

    async def _send_refusal(self, exc):
        LOG.warning(
            'bad frame; closing the link',
            extra={'peer': self.name, 'reason': exc.reason},
        )
        with anyio.move_on_after(1.0):
            await self._conn.send(frames.encode(frames.Refused(exc.reason)))
            await self._conn.aclose(1008, exc.reason)

    async def _write(self):
        async for data in self._queued_frames:
            try:
                with anyio.fail_after(WRITE_TIMEOUT_S):
                    await self._conn.send(data)
            except ws_exceptions.ConnectionClosed:
                # _read reports why it was closed.
                return
            self.sent_bytes += len(data)

    async def _ping(self):
        while True:
            number = next(self._ping_numbers)
            self._ping_sent_at[number] = anyio.current_time()
            self._ping_sent_at.pop(number - MAX_PINGS_TRACKED, None)
            self.send(frames.Ping(number))
            await anyio.sleep(detector.PING_INTERVAL_S)


def closed_for_size(exc):
    """Return whether a message over the size limit closed a connection."""
    return exc.sent is not None and exc.sent.code == 1009


class _PendingCall:
    def __init__(self):
        self.event = anyio.Event()
        self.reply = None

    def set(self, reply=None):
        self.reply = reply
        self.event.set()


def flatten_exceptions(group):
    """Return the exceptions of a group and of the groups nested in it."""
    return [
        item
        for exc in group.exceptions
        for item in (
            flatten_exceptions(exc)
            if isinstance(exc, ExceptionGroup)
            else [exc]
        )
    ]
