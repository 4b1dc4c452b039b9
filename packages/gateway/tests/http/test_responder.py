import unittest

import anyio

from tests.http import harness


class SlowReaderTest(unittest.TestCase):
    def test_client_that_reads_nothing_holds_little_and_is_ended(self):
        # Guards against clients that fill the memory of an instance: the
        # kernel would keep 4 MB for each. Its timers need the real time.
        sent, ended = [], []

        async def write_on(request, out):
            if request.target == b'/echo':
                await harness.echo(request, out)
                return
            out.start(200, [])
            try:
                while True:
                    await out.send(bytes(16_384))
                    sent.append(16_384)
            finally:
                ended.append(anyio.current_time())

        async def run():
            async with harness.listening(write_on) as connect:
                started_at = anyio.current_time()
                slow = await connect()
                await slow.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
                await anyio.sleep(0.5)
                with anyio.fail_after(1.0):
                    other = await connect()
                    await other.send(b'GET /echo HTTP/1.1\r\nHost: a\r\n\r\n')
                    self.assertIn(b'/echo', await other.receive())
                await anyio.sleep(4.0)
                await slow.aclose()
            self.assertLess(ended[0] - started_at, 4.0)

        anyio.run(run, backend='trio')
        # Its own buffer, which the kernel grows, counts as well.
        self.assertLess(sum(sent), 1_500_000)
