import unittest

import anyio
from wagtailtide_server.control import config_sync
from wagtailtide_testing import virtual_time

from tests.control import fleet as fleets


def in_force(inst):
    return inst.plane.config.document_of('tiles').organisations[0].name


class ConfigPropagationTest(unittest.TestCase):
    """Guards against a change that is not in force everywhere in 11 s."""

    @virtual_time.run_in_virtual_time
    async def test_a_change_is_in_force_on_all(self):
        async with fleets.running() as fleet:
            took_s = await fleet.wait_for_version(fleet.write('second'))
            self.assertLess(took_s, 2)

    @virtual_time.run_in_virtual_time
    async def test_a_change_arrives_on_a_slow_platform(self):
        async with fleets.running() as fleet:
            fleet.platform.set_faults(delay_s=0.8)
            await anyio.sleep(3)
            await fleet.wait_for_version(fleet.write('second'))

    @virtual_time.run_in_virtual_time
    async def test_a_change_arrives_while_watches_get_no_answer(self):
        # New watches fail; only lists work.
        async with fleets.running() as fleet:
            for inst in fleet.instances:
                inst.fail_watches = True
            # Watches that are open already still succeed.
            await anyio.sleep(3)
            await fleet.wait_for_version(fleet.write('second'))

    @virtual_time.run_in_virtual_time
    async def test_a_change_reaches_an_instance_cut_off_from_the_platform(
        self,
    ):
        async with fleets.running() as fleet:
            cut = fleet.instances[2]
            await fleet.take_offline(cut)
            await anyio.sleep(5)
            await fleet.wait_for_version(fleet.write('second'))
            self.assertEqual(in_force(cut), 'org-second')
            await anyio.sleep(10)
            self.assertTrue(cut.trust().trusted)
            self.assertEqual(cut.trust().reason, 'confirmed')

    @virtual_time.run_in_virtual_time
    async def test_a_large_document_arrives_in_parts(self):
        async with fleets.running() as fleet:
            await fleet.take_offline(fleet.instances[2])
            noise = bytes(fleet.rng.choices(range(33, 91), k=400_000))
            text = fleet.document_text('second').replace(
                '"service"', f'/*{noise.decode().replace("*", "x")}*/"service"'
            )
            version = fleet.write_raw('tiles', text.encode())
            await anyio.sleep(11)
            versions = [i.versions()['tiles'] for i in fleet.instances]
            invalid = [i.plane.config.invalid for i in fleet.instances]
            seen = [
                max(v, entry['tiles'].version if entry else 0)
                for v, entry in zip(versions, invalid, strict=True)
            ]
            self.assertEqual(seen, [version] * 3)

    @virtual_time.run_in_virtual_time
    async def test_a_deletion_is_in_force_on_all(self):
        async with fleets.running() as fleet:
            fleet.delete('tiles')
            await fleet.until(
                lambda: all(
                    i.plane.config.document_of('tiles') is None
                    for i in fleet.instances
                ),
                11,
            )


class NeverRevertsTest(unittest.TestCase):
    """Guards against going back to an older configuration."""

    def check_all_have_version(self, fleet, version):
        for inst in fleet.instances:
            self.assertEqual(inst.versions()['tiles'], version)
            self.assertEqual(sum(inst.invariants.violated.values()), 0)

    @virtual_time.run_in_virtual_time
    async def test_answers_with_an_older_revision_change_and_confirm_nothing(
        self,
    ):
        async with fleets.running() as fleet:
            version = fleet.write('second')
            await fleet.wait_for_version(version)
            fleet.platform.set_faults(stale_revisions=1)
            await anyio.sleep(8)
            self.check_all_have_version(fleet, version)
            # Nothing confirms the configuration any more.
            for inst in fleet.instances:
                self.assertFalse(inst.trust().trusted)

    @virtual_time.run_in_virtual_time
    async def test_a_restarted_instance_does_not_go_back(self):
        async with fleets.running() as fleet:
            version = fleet.write('second')
            await fleet.wait_for_version(version)
            fleet.platform.set_faults(stale_revisions=1)
            inst = fleet.instances[2]
            await inst.stop()
            await inst.start()
            await anyio.sleep(0.01)
            await fleet.wait_for_version(version)
            self.check_all_have_version(fleet, version)

    @virtual_time.run_in_virtual_time
    async def test_a_peer_with_an_older_document_changes_nothing(self):
        async with fleets.running() as fleet:
            old = fleet.instances[2]
            fleet.isolate(old)
            await fleet.take_offline(old)
            version = fleet.write('second')
            await anyio.sleep(11)
            self.assertEqual(in_force(old), 'org-first')
            fleet.heal()
            # It can get the new version only from its peers.
            old.offline = True
            await fleet.wait_for_version(version, 20)
            self.check_all_have_version(fleet, version)

    @virtual_time.run_in_virtual_time
    async def test_an_invalid_document_is_reported_and_not_in_force(self):
        async with fleets.running() as fleet:
            version = fleet.write_raw('tiles', b'{"service": 5}')
            await fleet.until(
                lambda: all(
                    i.plane.config.invalid.get('tiles')
                    for i in fleet.instances
                ),
                11,
            )
            for inst in fleet.instances:
                self.assertEqual(in_force(inst), 'org-first')
                entry = inst.plane.config.invalid['tiles']
                self.assertEqual(entry.version, version)
            # An instance that starts later has to get the earlier, valid
            # document from a peer.
            new = await fleet.add('late')
            await fleet.until(
                lambda: new.plane.config.document_of('tiles') is not None, 15
            )


class PlatformDownTest(unittest.TestCase):
    """Guards against needing the platform to start or to keep running."""

    @virtual_time.run_in_virtual_time
    async def test_a_new_instance_starts_from_its_peers(self):
        async with fleets.running() as fleet:
            fleet.platform.set_faults(outage='503')
            await anyio.sleep(15)
            seed = fleet.instances[0].address
            new = await fleet.add('late', seeds=[seed])
            await fleet.until(lambda: new.plane.caught_up, 15)
            self.assertEqual(in_force(new), 'org-first')
            await fleet.until(lambda: new.trust().trusted, 10)

    @virtual_time.run_in_virtual_time
    async def test_reads_stay_few_when_nothing_fails(self):
        async with fleets.running(4) as fleet:
            before = sum(fleet.platform.calls.values())
            await anyio.sleep(20)
            calls = sum(fleet.platform.calls.values()) - before
            # Each of the 4 is a watcher of a zone with at most 3.
            per_s = 4 * (1 / config_sync.WATCH_TIMEOUT_S + 1 / 4)
            self.assertLessEqual(calls / 20, per_s * 1.2)
