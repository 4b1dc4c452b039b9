import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests.http import harness

LARGE = bytes(6_000_000)

# Less than the least rate, 10 kB/s.
SLOW_READ_BYTES = 60_000
SLOW_READ_INTERVAL_S = 10.0


async def respond_with_much(request, out):
    await out.respond(200, [], LARGE)


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


class HeadRequestTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_response_to_a_head_request_has_no_body(self):
        # Guards against connections that end without any response, each with
        # a stack trace in the log.
        async def stream(request, out):
            out.start(200, [])
            await out.send(b'part')
            await out.finish()

        for handle in (harness.echo, stream):
            async with harness.listening(handle) as connect:
                connection = await connect()
                await connection.send(
                    b'HEAD /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
                )
                response = await harness.read_all(connection)
            head, _, body = response.partition(b'\r\n\r\n')
            self.assertIn(b' 200 ', head)
            self.assertEqual(body, b'')


class UnreadResponseTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_caller_that_reads_a_little_now_and_then_is_ended(self):
        # Guards against responses that are held for as long as a caller
        # likes: the timer of the kernel starts anew with each read.
        reasons = []

        async def respond(request, out):
            try:
                await respond_with_much(request, out)
            finally:
                reasons.append(out.disconnect_reason)

        async with harness.listening(respond) as connect:
            stream = await connect()
            await stream.send(harness.REQUEST)
            read = 0
            while not reasons and read < len(LARGE):
                read += len(await stream.receive(SLOW_READ_BYTES))
                await anyio.sleep(SLOW_READ_INTERVAL_S)
            await stream.aclose()
        self.assertIn('not read within', reasons[0])

    @virtual_time.run_in_virtual_time
    async def test_stop_does_not_wait_for_a_response_that_nobody_reads(self):
        # Guards against a process that is killed at the end of its grace
        # period, because the end of a response is written to its end.
        async with harness.serving(respond_with_much) as served:
            stream = await anyio.connect_tcp(harness.LISTEN_IP, served.port)
            await stream.send(harness.REQUEST)
            await anyio.sleep(0.2)
            self.assertEqual(served.busy_count, 1)
            served.close_all()
            await anyio.sleep(0.1)
            self.assertEqual(served.open_count, 0)
            await stream.aclose()
