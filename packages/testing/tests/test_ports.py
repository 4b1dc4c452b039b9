import socket
import struct
import unittest

from wagtailtide_testing import ports

HOST = '127.0.0.1'

# Linux 6.3; the socket module of Python 3.11 does not name it.
IP_LOCAL_PORT_RANGE = 51


def make_socket(port):
    """Return a socket for which the kernel can choose one port only."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(
        socket.IPPROTO_IP,
        IP_LOCAL_PORT_RANGE,
        struct.pack('I', port << 16 | port),
    )
    return sock


class ReserveTest(unittest.TestCase):
    """Guards against a port that others take while its server restarts."""

    def setUp(self):
        self.port = self.enterContext(ports.reserve(HOST, 1))[0]

    def listen(self):
        return socket.create_server((HOST, self.port))

    def test_server_listens_and_listens_again(self):
        for _ in range(2):
            with self.listen():
                socket.create_connection((HOST, self.port)).close()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection((HOST, self.port))

    def test_kernel_gives_the_port_to_no_other_server(self):
        self.listen().close()
        with make_socket(self.port) as other, self.assertRaises(OSError):
            other.bind((HOST, 0))

    def test_kernel_uses_the_port_for_no_outgoing_connection(self):
        self.listen().close()
        with (
            socket.create_server((HOST, 0)) as server,
            make_socket(self.port) as other,
            self.assertRaises(OSError),
        ):
            other.connect(server.getsockname())

    def test_all_ports_are_different_and_free_after_the_context(self):
        with ports.reserve(HOST, 3) as reserved:
            self.assertEqual(len({self.port, *reserved}), 4)
        with make_socket(reserved[0]) as other:
            other.bind((HOST, 0))
            self.assertEqual(other.getsockname()[1], reserved[0])
