import statistics
import unittest

from wagtailtide_gateway.decisions import server_capacity
from wagtailtide_testing import virtual_time

from tests.decisions import capacity_fleet

# Bound of docs/design/000-overview.md, part D.
MAX_LOST_SHARE = 0.02

# The shares of single seeds differ by up to 0.05 from the mean difference.
SEEDS = range(12)
SLOTS = 24
NOMINAL = server_capacity.NOMINAL


def half_speed(i, t, running):
    return 2.0 if i == 0 else 1.0


def know_half_speed(i, t):
    return server_capacity.Capacity(1.0, 2.0) if i == 0 else NOMINAL


def slow_at_third(i, t, running):
    return max(1.0, running / (SLOTS / 3)) if i == 0 else 1.0


def know_third(i, t):
    return server_capacity.Capacity(0.34, 1.0) if i == 0 else NOMINAL


async def served_shares(slowness, known, modes):
    """Return the mean share of served requests in each mode.

    The fleet is loaded close to what it can do with one slow server. Requests
    of the first 4 s do not count, in which the slow one is found.
    """
    found = {}
    for mode in modes:
        shares = []
        for seed in SEEDS:
            fleet = await capacity_fleet.replay(
                20,
                slowness=slowness,
                mode=mode,
                known=known,
                load=0.85,
                slots=SLOTS,
                seed=seed,
            )
            shares.append(fleet.served_share(4.0, 18.0))
        found[mode] = statistics.mean(shares)
    return found


class ServedShareTest(unittest.TestCase):
    """Guards against work that a fleet which knows the speeds would serve."""

    def check(self, found):
        lost = found['known'] - found['learned']
        self.assertLessEqual(lost, MAX_LOST_SHARE, found)
        # The replay shows the failure that the feature is for.
        lost = found['known'] - found['off']
        self.assertGreater(lost, MAX_LOST_SHARE, found)

    @virtual_time.run_without_io
    async def test_one_of_six_servers_at_half_speed(self):
        self.check(
            await served_shares(
                half_speed, know_half_speed, ('off', 'known', 'learned')
            )
        )

    @virtual_time.run_without_io
    async def test_every_sixth_of_56_servers_slows_at_a_third(self):
        # With 124 instances each sees few requests of a server.
        found = {}
        for mode in ('known', 'learned'):
            shares = []
            for seed in range(2):
                fleet = await capacity_fleet.replay(
                    20,
                    slowness=lambda i, t, running: slow_at_third(
                        i % 6, t, 2 * running
                    ),
                    mode=mode,
                    known=lambda i, t: know_third(i % 6, t),
                    load=0.6,
                    instances=124,
                    engines=56,
                    slots=SLOTS // 2,
                    seed=seed,
                )
                shares.append(fleet.served_share(4.0, 18.0))
            found[mode] = statistics.mean(shares)
        lost = found['known'] - found['learned']
        self.assertLessEqual(lost, MAX_LOST_SHARE, found)

    @virtual_time.run_without_io
    async def test_server_that_slows_at_a_third_of_its_slots(self):
        self.check(
            await served_shares(
                slow_at_third, know_third, ('off', 'known', 'learned')
            )
        )
