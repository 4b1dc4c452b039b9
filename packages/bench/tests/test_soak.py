"""Short soak runs with fixed seeds."""

import unittest

from wagtailtide_bench import soak_run

STEPS = 5
# Their schedules together have instance, platform, link and server faults.
SEEDS = (101, 112, 133)


class ShortSoakTest(unittest.TestCase):
    """Guards against violations of any invariant under combined faults."""

    def test_invariants_hold_under_seeded_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = soak_run.execute(seed, STEPS)
                schedule = '\n'.join(map(str, run.schedule))
                self.assertEqual([], run.violations, f'schedule:\n{schedule}')
