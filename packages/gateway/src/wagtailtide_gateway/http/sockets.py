"""TCP keep-alive options and checks of idle sockets."""

import select
import socket

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


def limit_buffers(stream):
    """Limit what the kernel keeps in both directions of a connection."""
    sock = stream.extra(SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)


def enable_keepalive(stream):
    """Make the kernel close a connection whose peer is unreachable."""
    sock = stream.extra(SocketAttribute.raw_socket)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def has_pending_input(stream):
    """Return whether an idle stream has data, EOF or an error pending."""
    sock = stream.extra(SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))
