import dataclasses
import types
import unittest

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import reachability
from wagtailtide_gateway.serving import attempt
from wagtailtide_gateway.serving import forwarded_call
from wagtailtide_gateway.serving import server_call
from wagtailtide_testing import virtual_time

from tests import builders

REQUEST = server_call.ServerRequest('a1', b'POST', b'/', (), b'', 1.0)


class SlowPool:
    """Pool whose connections stand after a second.

    Attributes:
        refused: Ids of the requests that were refused on a connection.
        kept: Number of connections that were returned for reuse.
        sent: Number of requests that were sent.
    """

    def __init__(self):
        self.kept = self.sent = 0
        self.refused = set()

    async def acquire(self, address, max_idle_s=None):
        """Return a connection after a second."""
        await anyio.sleep(1.0)
        return self

    async def request(self, *args):
        """Count a request that was sent."""
        self.sent += 1
        raise AssertionError('expected no request')

    async def release(self, conn):
        """Count a connection that is kept."""
        self.kept += 1


@dataclasses.dataclass
class DueJob:
    """A request whose response is due at a time in seconds."""

    due_at: float = float('inf')

    def send_limit_at(self):
        return self.due_at


class ZoneTest(unittest.TestCase):
    def setUp(self):
        self.zones = evacuations.EvacuationView(5.0)
        self.zones.apply_list([], 1, 0.0)
        self.state = server_state.ServerState(
            builders.make_server(zone='z1'), evacuations=self.zones
        )
        self.pool = SlowPool()
        self.job = DueJob()

    def direct(self):
        return server_call.ServerCall(
            None,
            self.pool,
            self.state,
            reachability.Reachability(),
            None,
            self.job.send_limit_at(),
        )

    def forwarded(self):
        return forwarded_call.ForwardedCall(
            None,
            self.pool,
            self.state,
            peers.PeerDirectory(),
            peers.Peer('front-2', '127.0.0.1', 9, ()),
            'front-1',
            self.job,
        )

    @virtual_time.run_without_io
    async def test_deadline_that_passed_while_connecting(self):
        # Guards against a request that reaches a server after its caller has
        # left: one did 0.7 s after its deadline.
        for make in (self.direct, self.forwarded):
            with self.subTest(make.__name__):
                self.setUp()
                self.job.due_at = anyio.current_time() + 0.9
                call = make()
                with self.assertRaises(server_call.DeadlinePassed):
                    await call.connect(REQUEST)
                await call.close()
                self.assertEqual((self.pool.kept, self.pool.sent), (1, 0))

    async def evacuate_soon(self):
        await anyio.sleep(0.5)
        self.zones.apply_list(
            [ports.StoredObject('z1', 2, {})], 2, anyio.current_time()
        )

    @virtual_time.run_without_io
    async def test_zone_evacuated_while_connecting_gets_no_request(self):
        for make in (self.direct, self.forwarded):
            with self.subTest(make.__name__):
                self.setUp()
                call = make()
                async with anyio.create_task_group() as tg:
                    tg.start_soon(self.evacuate_soon)
                    with self.assertRaises(server_call.ZoneEvacuated):
                        await call.connect(REQUEST)
                await call.close()
                self.assertEqual((self.pool.kept, self.pool.sent), (1, 0))

    @virtual_time.run_without_io
    async def test_request_that_was_not_sent_may_go_elsewhere_at_once(self):
        # Guards against an evacuation that uses up the retries of requests,
        # or makes their servers look as if they failed.
        call = self.direct()
        job = types.SimpleNamespace(
            req=types.SimpleNamespace(
                attempt_id='a1', method=b'POST', target=b'/', body=b''
            ),
            route=builders.make_route(),
            may_retry=lambda: True,
        )
        port = types.SimpleNamespace(request_headers=lambda *args: ())
        opened = attempt.Attempt(port, call, job, self.state, None)
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.evacuate_soon)
            failure = await opened.open()
        self.assertTrue(failure.not_run)
        self.assertTrue(failure.found_no_server)
        self.assertFalse(failure.unreachable)
        self.assertFalse(failure.broken)


class FailureTest(unittest.TestCase):
    def test_only_what_was_not_sent_by_this_instance_found_no_server(self):
        rows = (
            (attempt.Failure(True, 'x', unreachable=True), True),
            (attempt.Failure(True, 'x', unreachable=True, peer='p'), False),
            (attempt.Failure(True, 'x', evacuated=True), True),
            (attempt.Failure(True, 'x'), False),
        )
        for failure, expected in rows:
            with self.subTest(failure=failure):
                self.assertIs(failure.found_no_server, expected)
