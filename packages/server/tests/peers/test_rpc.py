import contextlib
import unittest

import anyio
import cbor2
from wagtailtide_core.membership import view
from wagtailtide_server.peers import frames
from wagtailtide_server.peers import listener
from wagtailtide_server.peers import rpc
from wagtailtide_testing import virtual_time
from websockets import exceptions as ws_exceptions
from websockets.trio import client as ws_client


class Instance:
    """An instance with a listener; records the frames that its peers send."""

    def __init__(self, name, tasks, directory):
        self.name, self.port = name, 0
        self.directory = directory
        self.received = []
        endpoint = listener.Endpoint(self.identity, self.check_peer)
        self.peers = rpc.Peers(endpoint, directory.get, self, tasks)

    def identity(self):
        address = f'127.0.0.1:{self.port}'
        return frames.Welcome(self.name, 1, 1, 'gulberg', 'lahore', address)

    def check_peer(self, hello, host):
        return None if hello.name in self.directory else 'not a member'

    def on_link(self, link):
        pass

    def on_link_closed(self, link):
        pass

    def on_pong(self, link, pong, sent_at):
        pass

    def on_frame(self, link, frame):
        self.received.append(frame)

    def make_pong(self, n):
        return frames.Pong(n, None, 0, 1)


@contextlib.asynccontextmanager
async def two_instances():
    directory = {}
    async with anyio.create_task_group() as tasks:
        pair = []
        for name in ('a', 'b'):
            inst = Instance(name, tasks, directory)
            endpoint = inst.peers.endpoint
            inst.port = await tasks.start(
                endpoint.listen, '127.0.0.1:0', inst.peers.serve
            )
            identity = inst.identity()
            directory[name] = view.Member(
                name, identity.address, identity.zone, identity.region, 1
            )
            pair.append(inst)
        yield pair
        tasks.cancel_scope.cancel()


async def echo(sender, body):
    return [sender, body]


async def never(sender, body):
    await anyio.sleep_forever()


class CallTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_call_without_a_link_opens_one_connection(self):
        async with two_instances() as (a, b):
            b.peers.register('echo', echo)
            self.assertEqual(await a.peers.call('b', 'echo', 5, 1), ['a', 5])
            await a.peers.call('b', 'echo', 6, 1)
            self.assertEqual(len(a.peers._on_demand), 1)
            await anyio.sleep(rpc.IDLE_TIMEOUT_S)
            a.peers.close_idle()
            await anyio.sleep(1)
            self.assertEqual(len(a.peers._on_demand), 0)

    @virtual_time.run_in_virtual_time
    async def test_failures_say_whether_the_call_may_have_run(self):
        async with two_instances() as (a, b):
            b.peers.register('never', never)
            for name, op, may_have_run in (
                ('unknown', 'echo', False),
                ('b', 'no_such_operation', False),
                ('b', 'never', True),
            ):
                with self.subTest(op=op, name=name):
                    with self.assertRaises(rpc.CallFailed) as caught:
                        await a.peers.call(name, op, None, 1)
                    self.assertEqual(
                        caught.exception.may_have_run, may_have_run
                    )
            # The connection on which a reply was missing is not reused.
            b.peers.register('echo', echo)
            self.assertEqual(await a.peers.call('b', 'echo', 1, 1), ['a', 1])


class BadFrameTest(unittest.TestCase):
    """Guards against a peer that keeps sending invalid frames."""

    async def exchange(self, address, *messages):
        """Send messages and return the reasons given before the close."""
        reasons = []
        async with ws_client.connect(
            f'ws://{address}/', proxy=None, ping_interval=None
        ) as conn:
            with (
                anyio.move_on_after(10),
                contextlib.suppress(ws_exceptions.ConnectionClosed),
            ):
                for message in messages:
                    await conn.send(message)
                while True:
                    frame = frames.decode(await conn.recv())
                    if isinstance(frame, frames.Refused):
                        reasons.append(frame.reason)
            # Lets the other side finish closing the connection.
            await anyio.sleep(0.1)
            return reasons, conn.close_code

    @virtual_time.run_in_virtual_time
    async def test_each_bad_frame_closes_the_link_and_is_counted(self):
        hello = frames.Hello('a', 1, 1, 'z', 'r', '127.0.0.1:1', 'link')
        non_member = frames.Hello('x', 1, 1, 'z', 'r', '127.0.0.1:1', 'link')
        ping = {'t': 'ping', 'v': 1, 'n': 1}
        greeting = frames.encode(hello)
        rows = (
            (frames.NON_MEMBER, [frames.encode(non_member)]),
            (frames.NON_MEMBER, [frames.encode(frames.Ping(1))]),
            (frames.NOT_CBOR, [b'\xff']),
            (frames.NOT_CBOR, [greeting, b'\xff']),
            (frames.NOT_BINARY, [greeting, 'text']),
            (frames.UNEXPECTED, [greeting, greeting]),
            (frames.UNKNOWN_TYPE, [greeting, cbor2.dumps({**ping, 't': 'x'})]),
            (frames.WRONG_VERSION, [greeting, cbor2.dumps({**ping, 'v': 2})]),
            (frames.BAD_FIELDS, [greeting, cbor2.dumps({**ping, 'n': ''})]),
        )
        async with two_instances() as (_, b):
            for reason, messages in rows:
                with self.subTest(reason=reason, messages=len(messages)):
                    before = b.peers.endpoint.bad_frames[reason]
                    found, code = await self.exchange(
                        b.identity().address, *messages
                    )
                    self.assertEqual((found, code), ([reason], 1008))
                    self.assertEqual(
                        b.peers.endpoint.bad_frames[reason], before + 1
                    )
            _, code = await self.exchange(
                b.identity().address,
                greeting,
                bytes(frames.MAX_FRAME_BYTES + 1),
            )
            self.assertEqual(code, 1009)
            self.assertEqual(b.peers.endpoint.bad_frames[frames.TOO_BIG], 1)
            self.assertEqual(b.peers.linked_names(), set())
