import errno
import unittest
from unittest import mock

import anyio
from wagtailtide_testing import virtual_time

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
