import functools
import unittest

import anyio
import trio
from wagtailtide_testing import fleet_network


def _run(test):
    trio.run(functools.partial(test), clock=fleet_network.make_clock())


async def _tick(name, ticks):
    fleet_network.CURRENT_NODE.set(name)
    while True:
        await anyio.sleep(0.1)
        ticks.append(anyio.current_time())


class PauseTest(unittest.TestCase):
    """Guards against timers of a paused node that still run."""

    def test_no_task_of_a_paused_node_runs(self):
        ticks, other_ticks = [], []

        async def run():
            network = fleet_network.Network()
            with network.installed():
                async with anyio.create_task_group() as group:
                    group.start_soon(_tick, 'a', ticks)
                    group.start_soon(_tick, 'b', other_ticks)
                    await anyio.sleep(1)
                    network.pause('a')
                    before = len(ticks)
                    await anyio.sleep(5)
                    self.assertEqual(len(ticks), before)
                    self.assertGreater(len(other_ticks), 40)
                    network.resume('a')
                    await anyio.sleep(1)
                    self.assertGreater(len(ticks), before)
                    group.cancel_scope.cancel()

        _run(run)


class CutTest(unittest.TestCase):
    """Guards against cuts that lose data or do not delay it."""

    def test_traffic_over_a_cut_arrives_when_it_is_healed(self):
        async def run():
            network = fleet_network.Network()
            received = []

            async def serve(stream):
                async for data in stream:
                    received.append((anyio.current_time(), data))

            with network.installed():
                async with trio.open_nursery() as nursery:
                    (listener,) = await trio.open_tcp_listeners(
                        0, host='127.0.0.1'
                    )
                    port = listener.socket.getsockname()[1]
                    network.nodes[port] = 'server'
                    nursery.start_soon(trio.serve_listeners, serve, [listener])
                    stream = await trio.open_tcp_stream('127.0.0.1', port)
                    network.cut('caller', 'server')
                    nursery.start_soon(stream.send_all, b'late')
                    await anyio.sleep(5)
                    self.assertEqual(received, [])
                    network.heal([('caller', 'server')])
                    await anyio.sleep(1)
                    self.assertEqual([data for _, data in received], [b'late'])
                    network.kill('server')
                    with self.assertRaises(trio.BrokenResourceError):
                        await stream.send_all(b'lost')
                    nursery.cancel_scope.cancel()

        _run(run)
