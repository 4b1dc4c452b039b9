import unittest

from wagtailtide_testing import virtual_time

from tests.decisions import mixed_fleet

# Bounds of docs/design/000-overview.md, part D.
MAX_DETECTION_S = 3.0
MAX_RECOVERY_S = 5.0

# From here on a server counts as found slow, or as limited.
FOUND_SLOWDOWN = 1.25
FOUND_SLOTS_SHARE = 0.8

RULES = (
    (mixed_fleet.mean_pace, 0.6),
    (mixed_fleet.slower_beside_larger, 0.5),
)


def is_slow(capacity):
    return (
        capacity.slowdown >= FOUND_SLOWDOWN
        or capacity.slots_share <= FOUND_SLOTS_SHARE
    )


def found_slow(fleet, but=None):
    """Return the times and indices of the servers that count as slow."""
    return [
        (at, i)
        for at, capacities in fleet.estimates
        for i, capacity in enumerate(capacities)
        if i != but and is_slow(capacity)
    ]


class EqualServersTest(unittest.TestCase):
    """Guards against taking a mixed batch for a slow server."""

    @virtual_time.run_without_io
    async def test_none_is_slow_or_limited(self):
        for mix, load in RULES:
            for seed in (1, 2):
                with self.subTest(mix=mix.__name__, seed=seed):
                    fleet = await mixed_fleet.replay(
                        20,
                        slowness=lambda i, t, running: 1.0,
                        mix=mix,
                        load=load,
                        seed=seed,
                    )
                    self.assertEqual(found_slow(fleet), [])

    @virtual_time.run_without_io
    async def test_none_of_56_is_slow_or_limited(self):
        # With 124 instances little is known in the first seconds.
        fleet = await mixed_fleet.replay(
            10,
            slowness=lambda i, t, running: 1.0,
            mix=mixed_fleet.mean_pace,
            load=0.45,
            models=20,
            instances=124,
            engines=56,
            slots=12,
            seed=2,
        )
        self.assertEqual(found_slow(fleet), [])


class HalfSpeedTest(unittest.TestCase):
    """Guards against a slow server that is explained by its batch."""

    def check(self, fleet, slow_at, normal_at):
        self.assertLessEqual(
            fleet.found_at(0, is_slow, slow_at), slow_at + MAX_DETECTION_S
        )
        times = [
            at for at, capacities in fleet.estimates if is_slow(capacities[0])
        ]
        self.assertGreaterEqual(min(times), slow_at)
        self.assertLessEqual(max(times), normal_at + MAX_RECOVERY_S)
        peaks = [engine.peak for engine in fleet.engines]
        self.assertLessEqual(peaks[0], max(peaks[1:]))

    async def replay(self, slow_at, normal_at, seconds, **kwargs):
        return await mixed_fleet.replay(
            seconds,
            slowness=lambda i, t, running: (
                2.0 if i == 0 and slow_at <= t < normal_at else 1.0
            ),
            **kwargs,
        )

    @virtual_time.run_without_io
    async def test_one_of_six_servers_is_found_and_used_again(self):
        for mix, load in RULES:
            with self.subTest(mix=mix.__name__):
                fleet = await self.replay(10, 18, 26, mix=mix, load=load)
                self.check(fleet, 10, 18)
                self.assertEqual(found_slow(fleet, but=0), [])
                share = fleet.sent_share(0, 18 + MAX_RECOVERY_S, 26)
                self.assertGreater(6 * share, 0.3)

    @virtual_time.run_without_io
    async def test_one_server_of_larger_fleets(self):
        # With 124 instances each knows 1 % of a server's batch.
        for instances, engines, slots in ((36, 18, 24), (124, 56, 12)):
            with self.subTest(instances=instances):
                fleet = await self.replay(
                    7,
                    16,
                    22,
                    mix=mixed_fleet.mean_pace,
                    load=0.45,
                    models=20,
                    instances=instances,
                    engines=engines,
                    slots=slots,
                )
                self.check(fleet, 7, 16)
                report, update, batches = fleet.section_sizes
                self.assertLessEqual(batches, 600)
                self.assertLess(124 * (report + update + batches), 300_000)

    @virtual_time.run_without_io
    async def test_one_of_56_servers_is_used_again(self):
        # The load that is known is 1 s old, so that a server which becomes
        # slow has more requests than slots before it is found.
        fleet = await self.replay(
            7,
            16,
            22,
            mix=mixed_fleet.slower_beside_larger,
            load=0.4,
            models=20,
            instances=124,
            engines=56,
            slots=12,
            seed=2,
        )
        self.check(fleet, 7, 16)
