"""Loopback ports that stay reserved while no server listens on them."""

import contextlib
import socket


@contextlib.contextmanager
def reserve(host, count):
    """Reserve unused ports while the context is active.

    The reservation is a socket that is bound and does not listen. The kernel
    gives its port to no socket that asks for any free port, and uses it for no
    outgoing connection. A server that sets SO_REUSEADDR, as servers usually
    do, can listen on it, stop and listen again. Connections are refused
    meanwhile.

    Args:
        host: IP address.
        count: Number of ports.

    Yields:
        The ports.
    """
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(_bound(host)) for _ in range(count)]


@contextlib.contextmanager
def _bound(host):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        yield sock.getsockname()[1]
