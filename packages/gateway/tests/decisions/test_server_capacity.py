import unittest

from wagtailtide_gateway.decisions import server_capacity
from wagtailtide_testing import virtual_time

from tests.decisions import capacity_fleet

# Bounds of docs/design/000-overview.md, part D.
MAX_DETECTION_S = 3.0
MAX_RECOVERY_S = 5.0

# From here on a server counts as found slow, or as used again.
FOUND_SLOWDOWN = 1.25
FOUND_SLOTS_SHARE = 0.8

NOMINAL = server_capacity.NOMINAL


def is_slow(capacity):
    return (
        capacity.slowdown >= FOUND_SLOWDOWN
        or capacity.slots_share <= FOUND_SLOTS_SHARE
    )


def half_speed(i, t, running):
    return 2.0 if i == 0 else 1.0


class ChangeTest(unittest.TestCase):
    async def check(self, instances, engines, slots, slow):
        fleet = await capacity_fleet.replay(
            28,
            slowness=lambda i, t, running: (
                slow(running, slots) if i == 0 and 10 <= t < 20 else 1.0
            ),
            load=0.75,
            instances=instances,
            engines=engines,
            slots=slots,
        )
        self.assertLessEqual(
            fleet.found_at(0, is_slow, 10.0), 10.0 + MAX_DETECTION_S
        )
        slow_at = [at for at, found in fleet.estimates if is_slow(found[0])]
        self.assertGreaterEqual(min(slow_at), 10.0)
        self.assertLessEqual(max(slow_at), 20.0 + MAX_RECOVERY_S)
        share = fleet.sent_share(0, 20.0 + MAX_RECOVERY_S, 28.0)
        self.assertGreater(share * engines, 0.3)

    @virtual_time.run_without_io
    async def test_speed_that_changes_is_followed(self):
        # Guards against estimates that react too late, or never recover.
        for instances, engines, slots in (
            (12, 6, 24),
            (36, 30, 24),
            (124, 56, 12),
        ):
            with self.subTest(instances=instances):
                await self.check(
                    instances, engines, slots, lambda running, slots: 2.0
                )

    @virtual_time.run_without_io
    async def test_sustained_load_that_changes_is_followed(self):
        for instances, engines, slots in ((12, 6, 24), (124, 56, 12)):
            with self.subTest(instances=instances):
                await self.check(
                    instances,
                    engines,
                    slots,
                    lambda running, slots: max(1.0, running / (slots / 3)),
                )


class PollutionTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_burst_of_large_prompts_does_not_count(self):
        # Guards against taking a server that reads prompts for a slow one.
        def extra(t):
            is_burst = 8.0 <= t < 10.0 and round(t / 0.02) % 10 == 0
            return [(capacity_fleet.LARGE, 0)] if is_burst else []

        fleet = await capacity_fleet.replay(
            16, slowness=lambda i, t, running: 1.0, load=0.75, extra=extra
        )
        self.assertEqual(
            [at for at, found in fleet.estimates if any(map(is_slow, found))],
            [],
        )

    @virtual_time.run_without_io
    async def test_equal_servers_are_not_told_apart(self):
        fleet = await capacity_fleet.replay(
            20, slowness=lambda i, t, running: 1.0, load=0.85, seed=3
        )
        self.assertEqual(
            [at for at, found in fleet.estimates if any(map(is_slow, found))],
            [],
        )


class LeaderTest(unittest.TestCase):
    """Guards against an estimate that is lost with its leader."""

    async def check(self, leaders):
        fleet = await capacity_fleet.replay(
            30, slowness=half_speed, load=0.75, leaders=leaders
        )
        unknown = [
            at
            for at, found in fleet.estimates
            if at >= 10.0 and not is_slow(found[0])
        ]
        self.assertEqual(unknown, [])

    @virtual_time.run_without_io
    async def test_estimate_survives_a_change_of_leader(self):
        await self.check(lambda t: 0 if t < 10 else None if t < 13 else 1)

    @virtual_time.run_without_io
    async def test_instance_without_a_leader_uses_its_own_estimates(self):
        await self.check(lambda t: 0 if t < 10 else None)


class HerdingTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_server_that_all_learn_is_fast_gets_its_share_only(self):
        # Guards against all instances sending to the server that they have
        # just learned is fast and nearly empty.
        for instances, engines, slots in (
            (12, 6, 24),
            (36, 30, 24),
            (124, 56, 12),
        ):
            with self.subTest(instances=instances):
                fleet = await capacity_fleet.replay(
                    17,
                    slowness=lambda i, t, running: (
                        4.0 if i == 0 and t < 10 else 1.0
                    ),
                    load=0.75,
                    instances=instances,
                    engines=engines,
                    slots=slots,
                )
                peaks = [engine.peak for engine in fleet.engines]
                self.assertLessEqual(peaks[0], max(peaks[1:]))


class SectionSizeTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_sections_of_the_large_fleet_are_small(self):
        # Guards against exchanges that fill a link of 5 Mbit/s: one a second.
        fleet = await capacity_fleet.replay(
            12,
            slowness=lambda i, t, running: 2.0 if i % 3 == 0 else 1.0,
            load=0.7,
            instances=124,
            engines=60,
            slots=12,
        )
        report, update, batches = fleet.section_sizes
        self.assertLessEqual(report, 1_500)
        self.assertLessEqual(update, 600)
        self.assertLessEqual(batches, 600)
        self.assertLess(124 * (report + update + batches), 300_000)


class EstimatorTest(unittest.TestCase):
    def test_models_of_different_pace_are_not_compared(self):
        # Guards against taking the servers of a slow model for slow ones.
        estimator = server_capacity.Estimator()
        for step in range(20):
            for i in range(6):
                model, pace = (('a', 0.04), ('b', 0.36))[i % 2]
                estimator.add(
                    f's{i}',
                    'engines',
                    server_capacity.Observation(
                        model, 0, 1, 10, 10 * pace, 0.4
                    ),
                )
            self.assertEqual(estimator.evaluate(step * 0.25), {})

    def test_only_server_of_a_model_is_not_judged_by_it(self):
        # Guards against a comparison with the server's own first pace: that
        # of the first one doubles.
        estimator = server_capacity.Estimator()
        for step in range(80):
            for i in range(3):
                seconds = (i + 1) * (2 if not i and step >= 40 else 1)
                estimator.add(
                    f's{i}',
                    'engines',
                    server_capacity.Observation(
                        f'm{i}', 0, 1, 10, seconds, 0.4
                    ),
                )
            self.assertEqual(estimator.evaluate(step * 0.25), {})

    def test_estimate_fades_without_observations(self):
        # Guards against a server that gets no requests for ever.
        estimator = server_capacity.Estimator()
        estimator.seed('s1', 'engines', server_capacity.Capacity(1.0, 4.0))
        self.assertEqual(set(estimator.evaluate(0.0)), {'s1'})
        steps = int(MAX_RECOVERY_S / 0.25)
        for step in range(1, steps + 1):
            found = estimator.evaluate(0.25 * step)
        self.assertFalse(is_slow(found.get('s1', NOMINAL)))
