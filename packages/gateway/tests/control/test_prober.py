import unittest

import anyio
import trio
from wagtailtide_core.retries import fate
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import prober
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import cold_servers
from wagtailtide_gateway.decisions import reachability
from wagtailtide_gateway.http import outgoing
from wagtailtide_testing import virtual_time

from tests import builders

SERVERS = 12


class FakePool:
    """Opens connections to all addresses but the refused and silent ones."""

    def __init__(self):
        self.refused = set()
        self.silent = set()
        self.opened = []

    async def open_idle(self, address):
        self.opened.append(address.port)
        await anyio.sleep(0.001)
        if address.port in self.silent:
            await anyio.sleep_forever()
        if address.port in self.refused:
            raise outgoing.ConnectionBroken('x', fate.Progress.CONNECTING)

    async def close_idle_to(self, address):
        pass


class FakeServers:
    @property
    def is_cut_off(self):
        return self.reachability.is_cut_off(self.states)

    def __init__(self):
        self.reachability = reachability.Reachability()
        self.evacuations = evacuations.EvacuationView(5.0)
        self.evacuations.apply_list([], 1, 0.0)
        self.states = {
            f's{port}': server_state.ServerState(
                builders.make_server(
                    f's{port}',
                    address=builders.backend.Address('127.0.0.1', port),
                    zone=f'z{port % 3}',
                ),
                evacuations=self.evacuations,
            )
            for port in range(SERVERS)
        }


def make_prober(is_leader=False):
    view, pool = FakeServers(), FakePool()
    found = prober.ServerProber(
        view, pool, lambda service: None, lambda: is_leader
    )
    return found, view, pool


class ReachableTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_server_that_is_reachable_again_counts_as_cold(self):
        # Guards against requests without permits to a new process whose entry
        # is not known yet.
        found, view, _ = make_prober()
        state, rule = view.states['s0'], cold_servers.make_rule(3, 8, 1.5, 5)
        state.limit.cold = cold_servers.ColdStart(lambda: rule)
        await found.record_failed(state, 'refused')
        async with anyio.create_task_group() as tg:
            tg.start_soon(found.run)
            await anyio.sleep(1.0)
            tg.cancel_scope.cancel()
        self.assertTrue(state.limit.cold.is_limited(anyio.current_time()))


class FindsPathTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_few_servers_are_probed_if_one_crashed(self):
        found, view, pool = make_prober()
        pool.refused = {0}
        await found.record_failed(view.states['s0'], 'refused')
        self.assertTrue(await found.finds_path())
        self.assertEqual(len(pool.opened), prober.FIRST_PROBES)

    @virtual_time.run_without_io
    async def test_calls_at_the_same_time_share_the_probes(self):
        found, view, pool = make_prober()
        await found.record_failed(view.states['s0'], 'refused')
        async with anyio.create_task_group() as tg:
            for _ in range(20):
                tg.start_soon(found.finds_path)
        self.assertEqual(len(pool.opened), prober.FIRST_PROBES)

    @virtual_time.run_without_io
    async def test_lost_path_is_noticed_at_once(self):
        for name in ('refused', 'silent'):
            with self.subTest(name):
                found, view, pool = make_prober()
                setattr(pool, name, set(range(SERVERS)))
                await found.record_failed(view.states['s0'], 'refused')
                started_at = anyio.current_time()
                self.assertFalse(await found.finds_path())
                self.assertTrue(view.is_cut_off)
                elapsed_s = anyio.current_time() - started_at
                self.assertLessEqual(elapsed_s, 2 * prober.PROBE_TIMEOUT_S)


class LagTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_servers_are_not_blamed_for_a_delay_of_this_process(self):
        # The process was frozen, or had no processor time, during the probe.
        found, view, pool = make_prober()

        async def freeze(address):
            trio.lowlevel.current_clock().jump(2.0)
            await anyio.sleep_forever()

        pool.open_idle = freeze
        self.assertFalse(await found.finds_path())
        self.assertEqual(view.reachability.unreachable, ())


class RunTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_silence_of_all_servers_is_checked(self):
        found, view, pool = make_prober()
        async with anyio.create_task_group() as tg:
            tg.start_soon(found.run)
            await anyio.sleep(1.0)
            self.assertEqual(pool.opened, [])
            pool.silent = set(range(SERVERS))
            view.reachability.record_request_start(anyio.current_time())
            await anyio.sleep(2.0)
            self.assertTrue(view.is_cut_off)
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_idle_leader_notices_that_it_is_cut_off(self):
        found, view, pool = make_prober(is_leader=True)
        pool.silent = set(range(SERVERS))
        async with anyio.create_task_group() as tg:
            tg.start_soon(found.run)
            await anyio.sleep(2.0)
            self.assertTrue(view.is_cut_off)
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_servers_that_accept_again_are_reachable(self):
        found, view, pool = make_prober()
        pool.refused = set(range(SERVERS))
        await found.record_failed(view.states['s0'], 'refused')
        await found.finds_path()
        async with anyio.create_task_group() as tg:
            tg.start_soon(found.run)
            await anyio.sleep(2.0)
            self.assertTrue(view.is_cut_off)
            pool.refused = set()
            await anyio.sleep(1.0)
            self.assertEqual(view.reachability.unreachable, ())
            tg.cancel_scope.cancel()


class EvacuatedZoneTest(unittest.TestCase):
    def evacuate(self, view, revision, *zones):
        objects = [ports.StoredObject(z, revision, {}) for z in zones]
        now = anyio.current_time()
        view.evacuations.apply_list(objects, revision, now)

    def probed_zones(self, view, pool):
        return {view.states[f's{port}'].server.zone for port in pool.opened}

    @virtual_time.run_without_io
    async def test_servers_of_the_zone_are_not_probed_for_a_path(self):
        found, view, pool = make_prober()
        self.evacuate(view, 2, 'z0', 'z1')
        pool.refused = set(range(SERVERS))
        await found.record_failed(view.states['s0'], 'refused')
        self.assertFalse(await found.finds_path())
        self.assertEqual(self.probed_zones(view, pool), {'z2'})

    @virtual_time.run_without_io
    async def test_unreachable_servers_are_probed_once_the_zone_is_back(self):
        found, view, pool = make_prober()
        self.evacuate(view, 2, 'z0')
        await found.record_failed(view.states['s0'], 'refused')
        async with anyio.create_task_group() as tg:
            tg.start_soon(found.run)
            await anyio.sleep(5.0)
            self.assertEqual(pool.opened, [])
            self.evacuate(view, 3)
            await anyio.sleep(1.0)
            tg.cancel_scope.cancel()
        self.assertEqual(pool.opened, [0])
        self.assertEqual(view.reachability.unreachable, ())
