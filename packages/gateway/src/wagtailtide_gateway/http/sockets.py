"""Sockets: streams that are read on demand, options, checks of idle ones."""

import select
import socket

import anyio
from anyio import lowlevel
from anyio.abc import SocketAttribute

# Sent data that stays unacknowledged for this long ends the connection. It
# is less than the 3 s after which an unreachable peer counts as failed.
USER_TIMEOUT_MS = 2_500

# Keep-alive probes detect a dead peer or a dropped path within about 3 s,
# also on idle connections.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


# Bytes that the kernel keeps for a peer that reads slowly; it allows for as
# many again for its own data. Unlimited it keeps up to 4 MB, and the smallest
# instance has 152 MB for all peers. It covers 20 ms at 100 Mbit/s. The same
# for what has been received and is not read yet, of which it keeps up to 6 MB.
BUFFER_BYTES = 262_144

# The same for an accepted connection, of which there may be many. It covers
# 2 ms, the way to a caller and back, at 128 Mbit/s.
ACCEPTED_BUFFER_BYTES = 32_768

# Most bytes that are taken from an accepted connection at once.
RECEIVE_BYTES = 16_384


def limit_buffers(sock, size=BUFFER_BYTES):
    """Limit what the kernel keeps in both directions of a connection.

    Args:
        sock: The socket. Accepted sockets inherit the limits of the one that
            listens, from their first byte.
        size: Bytes in each direction.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def enable_keepalive(sock):
    """Make the kernel close a connection whose peer is unreachable."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def raw_socket(stream):
    """Return the socket of a stream of anyio."""
    return stream.extra(SocketAttribute.raw_socket)


def has_pending_input(sock):
    """Return whether an idle socket has data, EOF or an error pending."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))


async def accept(sock):
    """Wait for a connection; return its AcceptedStream.

    Args:
        sock: The socket that listens, non-blocking.

    Raises:
        OSError: The connection cannot be accepted.
    """
    while True:
        await anyio.wait_readable(sock)
        try:
            accepted, _ = sock.accept()
        except (BlockingIOError, InterruptedError):
            continue
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(accepted)
        return AcceptedStream(accepted)


class AcceptedStream:
    """An accepted connection, read only when `receive` is called.

    The streams of anyio read ahead on asyncio: an accepted one from the
    start, without a bound until a call of `receive` has had to wait for data.
    A peer that is always ahead of its reader would fill the memory.

    Args:
        sock: The connected socket, non-blocking.
    """

    def __init__(self, sock):
        self._sock = sock
        self._is_closed = False
        # Whether a part of some data was sent and the rest never will be.
        self._is_torn = False

    @property
    def is_closed(self):
        """Whether this side has closed it."""
        return self._is_closed

    @property
    def has_pending_input(self):
        """Whether the kernel has input, EOF or an error for it."""
        return not self._is_closed and has_pending_input(self._sock)

    async def receive(self):
        """Return up to RECEIVE_BYTES bytes.

        Raises:
            EndOfStream: The peer has sent all.
            BrokenResourceError: The connection is broken.
            ClosedResourceError: This side has closed it.
        """
        while True:
            self._require_open()
            await anyio.wait_readable(self._sock)
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as exc:
                raise anyio.BrokenResourceError from exc
            if not data:
                raise anyio.EndOfStream
            return data

    def send_at_once(self, data):
        """Send what the kernel takes without waiting; return the rest.

        Raises:
            BrokenResourceError: The connection is broken.
            ClosedResourceError: This side has closed it.
        """
        self._require_open()
        if self._is_torn:
            raise anyio.BrokenResourceError
        try:
            return data[self._sock.send(data) :]
        except (BlockingIOError, InterruptedError):
            return data
        except OSError as exc:
            raise anyio.BrokenResourceError from exc

    async def send(self, data):
        """Send all of some data; raises like `send_at_once`."""
        await lowlevel.checkpoint_if_cancelled()
        rest = self.send_at_once(memoryview(data))
        while rest:
            self._is_torn = True
            await anyio.wait_writable(self._sock)
            self._is_torn = False
            rest = self.send_at_once(rest)
        await lowlevel.cancel_shielded_checkpoint()

    def end_sending(self):
        """Tell the peer that nothing more will be sent."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise anyio.BrokenResourceError from exc

    def close(self):
        """Close it at once; tasks that wait for it get an error."""
        if self._is_closed:
            return
        self._is_closed = True
        anyio.notify_closing(self._sock)
        self._sock.close()

    def _require_open(self):
        if self._is_closed:
            raise anyio.ClosedResourceError
