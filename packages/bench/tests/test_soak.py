"""A short soak with fixed seeds, and proofs that its checks see faults."""

import unittest

from wagtailtide_bench import soak_run

STEPS = 6
# Found to cover each group of faults within about a minute of real time.
SEEDS = (101, 112, 133)


class ShortSoakTest(unittest.TestCase):
    """Guards against violations of any invariant under combined faults."""

    def test_invariants_hold_under_seeded_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = soak_run.execute(seed, STEPS)
                schedule = '\n'.join(map(str, run.schedule))
                self.assertEqual([], run.found, f'schedule:\n{schedule}')
