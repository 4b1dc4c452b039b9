import errno
import unittest
from unittest import mock

import anyio
from wagtailtide_gateway.http import resources
from wagtailtide_testing import virtual_time

from tests import builders
from tests.http import harness


class AcceptTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_failed_accept_does_not_end_the_other_connections(self):
        # Guards against an instance that ends, with all its requests, when it
        # runs out of file descriptors.
        async with harness.listening() as connect:
            first = await connect()
            error = OSError(errno.EMFILE, 'too many open files')
            with mock.patch('socket.socket._accept', side_effect=error):
                second = await connect()
                await anyio.sleep(0.2)
            for stream in (first, second):
                await stream.send(
                    b'GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
                )
                self.assertIn(b' 200 ', await harness.read_all(stream))


class ScarceConnectionsTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_caller_is_served_beside_a_crowd_that_sends_nothing(self):
        # Guards against idle connections that take all descriptors, so that
        # nobody else gets one.
        limits = builders.make_connection_limits(callers=10)
        shared = resources.make(limits)
        async with harness.listening(resources=shared) as connect:
            crowd = [await connect() for _ in range(30)]
            await anyio.sleep(0.1)
            for _ in range(20):
                stream = await connect()
                await stream.send(harness.REQUEST)
                with anyio.fail_after(0.5):
                    self.assertIn(b' 200 ', await stream.receive())
                await stream.aclose()
            for stream in crowd:
                await stream.aclose()

    @virtual_time.run_in_virtual_time
    async def test_open_connections_stay_within_the_bound(self):
        limits = builders.make_connection_limits(callers=10)
        shared = resources.make(limits)
        async with harness.serving(resources=shared) as served:
            crowd = [
                await anyio.connect_tcp(harness.LISTEN_IP, served.port)
                for _ in range(30)
            ]
            await anyio.sleep(0.1)
            self.assertEqual(served.open_count, 10)
            for stream in crowd:
                await stream.aclose()
