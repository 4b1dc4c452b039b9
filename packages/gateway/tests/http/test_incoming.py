import contextlib
import dataclasses
import unittest
from unittest import mock

import anyio
from anyio import lowlevel
import h11
from wagtailtide_gateway.decisions import connections
from wagtailtide_gateway.http import connection_budget
from wagtailtide_gateway.http import incoming
from wagtailtide_gateway.http import resources
from wagtailtide_gateway.http import turns
from wagtailtide_testing import virtual_time

from tests.http import harness


class StreamClosedAsInputArrives:
    """A stream that is closed when its first input has arrived.

    Attributes:
        conn: The CallerConnection, which closes it.
    """

    has_pending_input = False

    def __init__(self, data):
        self._data = data
        self.is_closed = False
        self.conn = None

    async def receive(self):
        if self.is_closed:
            raise anyio.ClosedResourceError
        self.conn.close_if_idle()
        return self._data

    def send_at_once(self, data):
        raise anyio.ClosedResourceError

    def close(self):
        self.is_closed = True


class SlowBodyTest(unittest.TestCase):
    HEAD = b'POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n'

    async def reply_to(self, pause_s):
        """Return the response to a body of a byte at a time, and seconds."""
        async with harness.listening() as connect:
            stream = await connect()
            started_at = anyio.current_time()
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                await stream.send(self.HEAD)
                with anyio.move_on_after(60.0):
                    async with anyio.create_task_group() as tg:
                        tg.start_soon(self._send_slowly, stream, pause_s)
                        data = await stream.receive()
                        tg.cancel_scope.cancel()
                    return data, anyio.current_time() - started_at
            return b'', anyio.current_time() - started_at

    async def _send_slowly(self, stream, pause_s):
        with contextlib.suppress(anyio.BrokenResourceError):
            for _ in range(60):
                await stream.send(b'x')
                await anyio.sleep(pause_s)

    @virtual_time.run_in_virtual_time
    async def test_body_that_arrives_too_slowly_is_ended(self):
        # Guards against uploads that hold memory for as long as they like.
        data, seconds = await self.reply_to(0.4)
        self.assertIn(b' 408 ', data)
        self.assertAlmostEqual(
            seconds, harness.LIMITS.idle_timeout_s, delta=0.5
        )

    @virtual_time.run_in_virtual_time
    async def test_body_within_the_idle_timeout_is_taken(self):
        data, _ = await self.reply_to(0.05)
        self.assertIn(b' 200 ', data)


class MalformedRequestTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_malformed_request_is_rejected_and_the_connection_closed(
        self,
    ):
        rows = {
            'no HTTP': (b'\x16\x03\x01 hello\r\n\r\n', b'400'),
            'two lengths': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
                b'Content-Length: 2\r\n\r\nab',
                b'400',
            ),
            'bad length': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
                b'400',
            ),
            'two hosts': (
                b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
                b'400',
            ),
            'no host': (b'GET / HTTP/1.1\r\n\r\n', b'400'),
            'space before colon': (
                b'GET / HTTP/1.1\r\nHost : a\r\n\r\n',
                b'400',
            ),
            'head too large': (
                b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 2_000,
                b'431',
            ),
            'body too large': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n'
                + b'x' * 101,
                b'413',
            ),
            'head too slow': (b'GET / HTTP/1.1\r\nHo', b'408'),
        }
        async with harness.listening() as connect:
            for name, (data, status) in rows.items():
                with self.subTest(name):
                    stream = await connect()
                    await stream.send(data)
                    response = await harness.read_all(stream)
                    self.assertEqual(response.split(b' ')[1], status)

    @virtual_time.run_in_virtual_time
    async def test_request_inside_a_body_is_never_served(self):
        # Guards against request smuggling with Content-Length and
        # Transfer-Encoding in one request.
        served = []

        async def record(request, out):
            served.append(request.target)
            await out.respond(200, [], b'')

        async with harness.listening(record) as connect:
            stream = await connect()
            await stream.send(
                b'POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: 44\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                b'2c\r\nGET /inner HTTP/1.1\r\nHost: a\r\nX: 0123456\r\n\r\n'
                b'\r\n0\r\n\r\n'
            )
            with anyio.move_on_after(1):
                await harness.read_all(stream)
        self.assertNotIn(b'/inner', served)


class ConnectionTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_pipelined_requests_are_answered_in_order(self):
        async with harness.listening() as connect:
            stream = await connect()
            await stream.send(
                b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
                b'POST /2 HTTP/1.1\r\nHost: a\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n'
                b'GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
            )
            response = await harness.read_all(stream)
        bodies = [
            part.split(b'\r\n')[0] for part in response.split(b'\r\n\r\n')
        ]
        order = [body[:2] for body in bodies if body.startswith(b'/')]
        self.assertEqual(order, [b'/1', b'/2', b'/3'])
        self.assertIn(b'/2 ab', response)

    @virtual_time.run_in_virtual_time
    async def test_handler_error_ends_only_its_connection(self):
        async def fail(request, out):
            raise RuntimeError('broken')

        async with harness.listening(fail) as connect:
            for _ in range(2):
                stream = await connect()
                await stream.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
                self.assertEqual(await harness.read_all(stream), b'')

    @virtual_time.run_in_virtual_time
    async def test_response_at_the_moment_of_the_deadline_is_written(self):
        # Guards against a connection that is closed without any response
        # although the response was complete.
        async def respond_when_cancelled(request, out):
            with anyio.CancelScope() as scope:
                scope.cancel()
                await out.respond(200, [], b'x')

        async with harness.listening(respond_when_cancelled) as connect:
            stream = await connect()
            await stream.send(
                b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
            )
            self.assertIn(b' 200 ', await harness.read_all(stream))

    @virtual_time.run_in_virtual_time
    async def test_deadline_before_the_first_event_leaves_the_response_unsent(
        self,
    ):
        # Guards against a connection that is closed without any response,
        # because the response counts as started and nothing was written.
        async def stream_when_cancelled(request, out):
            with anyio.CancelScope() as scope:
                scope.cancel()
                out.start(200, [])
                await out.send(b'x')
            await out.respond(504, [], b'')

        async with harness.listening(stream_when_cancelled) as connect:
            stream = await connect()
            await stream.send(
                b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
            )
            self.assertIn(b' 504 ', await harness.read_all(stream))

    @virtual_time.run_in_virtual_time
    async def test_handler_is_cancelled_when_its_caller_disconnects(self):
        ended = anyio.Event()

        async def wait(request, out):
            try:
                await anyio.sleep_forever()
            finally:
                ended.set()

        async with harness.listening(wait) as connect:
            stream = await connect()
            await stream.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            await anyio.sleep(0.1)
            await stream.aclose()
            with anyio.fail_after(0.5):
                await ended.wait()

    @virtual_time.run_without_io
    async def test_request_that_arrives_as_its_connection_closes_is_not_run(
        self,
    ):
        # Guards against a request that a server runs although its caller can
        # get no response.
        handled = []

        async def record(request, out):
            handled.append(request.target)

        stream = StreamClosedAsInputArrives(
            b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
        )
        shared = resources.make()
        stream.conn = incoming.CallerConnection(
            stream,
            record,
            lambda: harness.LIMITS,
            lambda: True,
            shared,
            connection_budget.Holding(shared.budget, stream),
        )
        await stream.conn.serve()
        self.assertEqual(handled, [])

    @virtual_time.run_in_virtual_time
    async def test_idle_connection_is_closed_after_the_idle_timeout(self):
        async with harness.listening() as connect:
            stream = await connect()
            with anyio.fail_after(harness.LIMITS.idle_timeout_s + 0.5):
                self.assertEqual(await harness.read_all(stream), b'')


class ChangedLimitsTest(unittest.TestCase):
    """A connection that was opened before the limits changed.

    Guards against requests on connections that callers keep open, held to the
    limits of a configuration that is no longer in force.
    """

    async def replies(self, requests, **changes):
        """Return what follows after a change, one request after another."""
        current = [harness.LIMITS]
        async with harness.listening(limits=lambda: current[0]) as connect:
            stream = await connect()
            await stream.send(b'GET /first HTTP/1.1\r\nHost: a\r\n\r\n')
            self.assertIn(b'/first', await stream.receive())
            current[0] = dataclasses.replace(harness.LIMITS, **changes)
            await stream.send(requests)
            with anyio.fail_after(60):
                return await harness.read_all(stream)

    @virtual_time.run_in_virtual_time
    async def test_smaller_body_limit_holds_for_the_next_request(self):
        reply = await self.replies(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n'
            + b'x' * 60,
            max_body_bytes=50,
        )
        self.assertIn(b' 413 ', reply)

    @virtual_time.run_in_virtual_time
    async def test_pipelined_request_is_kept_as_the_header_limit_changes(self):
        current = [harness.LIMITS]

        async def change(request, out):
            current[0] = dataclasses.replace(
                harness.LIMITS, max_header_bytes=2_000
            )
            await harness.echo(request, out)

        async with harness.listening(
            change, limits=lambda: current[0]
        ) as connect:
            stream = await connect()
            await stream.send(
                b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
                b'GET /2 HTTP/1.1\r\nHost: a\r\n\r\n'
            )
            with anyio.fail_after(60):
                replies = await harness.read_all(stream)
        self.assertIn(b'/1', replies)
        self.assertIn(b'/2', replies)

    @virtual_time.run_in_virtual_time
    async def test_smaller_header_limit_holds_for_the_next_request(self):
        reply = await self.replies(
            b'GET /2 HTTP/1.1\r\nHost: a\r\nX-Long: ' + b'x' * 700,
            max_header_bytes=500,
        )
        self.assertIn(b' 431 ', reply)

    @virtual_time.run_in_virtual_time
    async def test_shorter_idle_timeout_holds_after_the_next_request(self):
        started_at = anyio.current_time()
        await self.replies(
            b'GET /2 HTTP/1.1\r\nHost: a\r\n\r\n', idle_timeout_s=1.0
        )
        self.assertLess(anyio.current_time() - started_at, 2.0)


class ReadAheadTest(unittest.TestCase):
    """A caller that sends requests ahead and reads no response.

    Guards against input that fills the memory, because the event loop reads
    on by itself when there is more before the reader asks.
    """

    async def taken(self):
        """Return the bytes that an instance takes from such a caller."""
        served = await harness.make_listener()
        async with await anyio.connect_tcp(
            harness.LISTEN_IP, served.port
        ) as stream:
            # It is ahead when its connection is accepted.
            await stream.send(harness.REQUEST * 100)
            async with anyio.create_task_group() as tg:
                tg.start_soon(served.serve)
                taken = await harness.send_until_blocked(
                    stream, harness.REQUEST * 100, 64_000_000, 0.5
                )
                tg.cancel_scope.cancel()
        return taken

    def test_no_more_is_taken_than_is_handled(self):
        # The buffers of the kernel on both sides count as well.
        for backend in ('asyncio', 'trio'):
            with self.subTest(backend):
                taken = anyio.run(self.taken, backend=backend)
                self.assertLess(taken, 8_000_000)


class ManyPiecesTest(unittest.TestCase):
    HEAD = (
        b'POST /pieces HTTP/1.1\r\nHost: a\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )

    @virtual_time.run_in_virtual_time
    async def test_body_in_chunks_of_one_byte_is_taken(self):
        limits = dataclasses.replace(harness.LIMITS, max_body_bytes=10_000)
        async with harness.listening(limits=lambda: limits) as connect:
            stream = await connect()
            await stream.send(
                self.HEAD + b'1\r\nx\r\n' * 10_000 + b'0\r\n\r\n'
            )
            response = b''
            while not response.endswith(b'x' * 10_000):
                response += await stream.receive()
        self.assertIn(b' 200 ', response)

    @virtual_time.run_in_virtual_time
    async def test_others_get_their_turn_beside_small_pieces(self):
        # Guards against a few callers whose small chunks keep an instance
        # busy for seconds at a time.
        most = 0

        async def count_pieces():
            nonlocal most
            next_event, handled = h11.Connection.next_event, 0

            def counted(conn):
                nonlocal handled
                handled += 1
                return next_event(conn)

            with mock.patch.object(h11.Connection, 'next_event', counted):
                for _ in range(3_000):
                    handled = 0
                    await lowlevel.checkpoint()
                    most = max(most, handled)

        limits = dataclasses.replace(harness.LIMITS, max_body_bytes=1_000_000)
        async with harness.listening(limits=lambda: limits) as connect:
            callers = [await connect() for _ in range(10)]
            for stream in callers:
                await stream.send(self.HEAD + b'1\r\nx\r\n' * 5_000)
            await count_pieces()
            for stream in callers:
                await stream.aclose()
        self.assertGreater(most, 0)
        # Each may have its first pieces in the same round.
        self.assertLessEqual(
            most, 10 * turns.FREE_PIECES + turns.PIECES_PER_TURN
        )


class HeldMemoryTest(unittest.TestCase):
    HEADERS = 500

    @virtual_time.run_in_virtual_time
    async def test_headers_count_while_the_body_is_awaited(self):
        # Guards against heads with many small headers, each of which takes
        # many times its size in memory, on connections that then wait.
        limits = dataclasses.replace(harness.LIMITS, max_header_bytes=16_384)
        shared = resources.make()
        async with harness.listening(
            limits=lambda: limits, resources=shared
        ) as connect:
            stream = await connect()
            await stream.send(
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n'
                + b'a:b\r\n' * self.HEADERS
                + b'\r\n'
            )
            await anyio.sleep(0.1)
            self.assertGreater(
                shared.budget.held_bytes,
                connections.CONNECTION_BYTES
                + self.HEADERS * incoming.HEADER_BYTES,
            )
            await stream.aclose()


class TooLargeBodyTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_body_that_is_stated_as_too_large_is_rejected_at_once(self):
        # Guards against bodies that are received although the head says that
        # they cannot be taken.
        async with harness.listening() as connect:
            stream = await connect()
            await stream.send(
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n'
            )
            with anyio.fail_after(1.0):
                self.assertIn(b' 413 ', await stream.receive())
            await stream.aclose()


class LingeringTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_caller_that_still_sends_reads_its_rejection(self):
        # Guards against rejections that are lost because the kernel resets a
        # connection that is closed with unread input.
        async with harness.listening() as connect:
            stream = await connect()
            head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
            await stream.send(head % 4_200_000 + bytes(2_100_000))
            await anyio.sleep(0.2)
            await stream.send(bytes(2_100_000))
            response = await harness.read_all(stream)
        self.assertIn(b' 413 ', response)

    @virtual_time.run_in_virtual_time
    async def test_caller_that_never_stops_is_disconnected(self):
        async with harness.listening() as connect:
            stream = await connect()
            await stream.send(b'no HTTP\r\n\r\n')
            with (
                anyio.fail_after(incoming.LINGER_S + 1.0),
                self.assertRaises(anyio.BrokenResourceError),
            ):
                while True:
                    await stream.send(bytes(10_000))
                    await anyio.sleep(0.01)
