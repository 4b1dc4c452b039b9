import unittest

import anyio
import trio
from wagtailtide_core.membership import view
from wagtailtide_server.control import membership
from wagtailtide_testing import virtual_time

from tests.control import fleet as fleets


async def virtual_pause(seconds):
    """Advance the clock without running any task in between."""
    trio.lowlevel.current_clock().jump(seconds)


def states(inst):
    return {m.name: m.state for m in inst.plane.view}


class LinksTest(unittest.TestCase):
    """Guards against links that stay silent, and undetected failures."""

    @virtual_time.run_in_virtual_time
    async def test_a_connection_silent_for_good_is_replaced(self):
        async with fleets.running() as fleet:
            for inst in fleet.instances:
                for _, stream in inst.streams:
                    stream.silent = True
            await anyio.sleep(6)
            for inst in fleet.instances:
                self.assertEqual(len(inst.plane.peers.linked_names()), 2)
                self.assertEqual(set(states(inst).values()), {view.State.LIVE})
            self.assertLessEqual(
                len(fleet.instances[0].plane.open_links(None)), 4
            )

    @virtual_time.run_in_virtual_time
    async def test_a_crashed_member_fails_and_its_restart_is_taken_back(self):
        async with fleets.running() as fleet:
            # It opened all its links itself, so the others detect the crash
            # only when the links end.
            first, _, last = fleet.instances
            await first.stop()
            took_s = await fleet.until(
                lambda: states(last)['inst-0'] == view.State.FAILED, 7
            )
            self.assertGreater(took_s, 2)
            await first.start()
            await fleet.until(
                lambda: all(
                    states(i).get('inst-0') == view.State.LIVE
                    for i in fleet.instances
                ),
                membership.FAILED_PROBE_INTERVAL_S + 3,
            )

    @virtual_time.run_in_virtual_time
    async def test_a_planned_stop_is_known_at_once(self):
        async with fleets.running() as fleet:
            await fleet.instances[2].plane.leave()
            await fleet.instances[2].stop()
            await anyio.sleep(1)
            for inst in fleet.instances[:2]:
                self.assertEqual(states(inst)['inst-2'], view.State.LEFT)


class PauseTest(unittest.TestCase):
    """Guards against acting on outdated knowledge after a pause."""

    @virtual_time.run_in_virtual_time
    async def test_a_paused_instance_waits_for_a_resync(self):
        async with fleets.running() as fleet:
            inst = fleet.instances[2]
            self.assertTrue(inst.plane.ready)
            # Without links and store nothing arrives after the pause.
            inst.offline = True
            fleet.isolate(inst)
            await virtual_pause(4.0)
            await anyio.sleep(1)
            self.assertFalse(inst.plane.ready)
            fleet.heal()
            await fleet.until(lambda: inst.plane.ready, 20)
