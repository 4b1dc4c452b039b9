"""Options of sockets and checks on idle ones."""

import select
import socket

from anyio.abc import SocketAttribute

# A peer that acknowledges nothing for this time is out of reach. Below the
# three seconds after which an unreachable peer counts as failed.
UNACKNOWLEDGED_MS = 2_500

# Idle connections are probed, because something between two ends may have
# lost track of them: silence is found within about three seconds.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2


def detect_silence(stream):
    """Make the kernel end a connection whose other end is out of reach."""
    sock = stream.extra(SocketAttribute.raw_socket)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def has_input(stream):
    """Return whether an idle stream has bytes, an end or an error pending."""
    sock = stream.extra(SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))
