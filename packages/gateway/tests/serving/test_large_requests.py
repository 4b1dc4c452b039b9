import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests.serving import scheduling_fleet

# Sizes of the fleets, and numbers of engines that have the model.
INSTANCES = (12, 36, 124)
ENGINES = (1, 2, 6)

# Fewer requests of this size fit into an engine than it has slots.
LARGE_TOKENS = 6_500

# Requests of one fleet, each after all others are forgotten.
REQUESTS = 8
PAUSE_S = 5.0


class RareLargeRequestTest(unittest.TestCase):
    """Guards against large requests that are refused beside idle engines."""

    async def waits_s(self, instances, engines, tokens=LARGE_TOKENS):
        """Return the seconds that single requests wait, None if rejected."""
        fleet = scheduling_fleet.Fleet(instances, engines, limits_memory=True)
        waits = []
        async with fleet.running() as requests:
            for _ in range(REQUESTS):
                await anyio.sleep(PAUSE_S + fleet.rng.random())
                outcome = await fleet.request(
                    'note', fleet.rng.randrange(instances), tokens=tokens
                )
                rejected = outcome.rejected_s is not None
                waits.append(None if rejected else outcome.waited_s)
            requests.cancel_scope.cancel()
        return waits

    @virtual_time.run_without_io
    async def test_is_sent_within_the_latency_target(self):
        _, target_s, _ = scheduling_fleet.CLASSES['note']
        for instances in INSTANCES:
            for engines in ENGINES:
                waits = await self.waits_s(instances, engines)
                late = [w for w in waits if w is None or w > target_s]
                with self.subTest(instances=instances, engines=engines):
                    self.assertEqual(late, [])

    @virtual_time.run_without_io
    async def test_of_most_of_an_engine_is_sent_within_the_latency_target(
        self,
    ):
        # Guards against a reservation that counts beside its own request.
        _, target_s, _ = scheduling_fleet.CLASSES['note']
        for instances in INSTANCES:
            waits = await self.waits_s(instances, 1, 45_000)
            late = [w for w in waits if w is None or w > target_s]
            with self.subTest(instances=instances):
                self.assertEqual(late, [])


class RareRequestWithoutLeaderTest(unittest.TestCase):
    """Guards against requests that are refused beside idle engines.

    Each instance took all others to want as much as it wants at the moment.
    """

    @virtual_time.run_without_io
    async def test_is_sent_within_the_latency_target(self):
        _, target_s, _ = scheduling_fleet.CLASSES['urgent']
        fleet = scheduling_fleet.Fleet(124, 2, limits_memory=True)
        outcomes = []
        async with fleet.running() as requests:
            await anyio.sleep(PAUSE_S)
            fleet.has_leader = False
            await anyio.sleep(PAUSE_S)
            for _ in range(5 * REQUESTS):
                await anyio.sleep(0.2)
                index = fleet.rng.randrange(124)
                outcomes.append(await fleet.request('urgent', index))
            requests.cancel_scope.cancel()
        late = [o for o in outcomes if o.rejected_s or o.waited_s > target_s]
        self.assertEqual(late, [])
