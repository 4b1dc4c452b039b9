import unittest

import anyio
import anyio.lowlevel
from wagtailtide_core.errors import kinds
from wagtailtide_testing import virtual_time

from tests.serving import scheduling_fleet

TIME_LEFT_S = 1.0

# Far more often than the tasks of a request run at one time of the clock.
MANY_CHECKPOINTS = 1_000


class FinderTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_request_whose_time_is_over_is_rejected(self):
        # Guards against a request that checks again at once, without end,
        # because no wait is predicted while all servers are exactly full.
        fleet = scheduling_fleet.Fleet(size=2, schedules_shares=False)
        instance = fleet.instances[0]
        for state in instance.shared.servers.states.values():
            state.own_load = fleet.slots
        due_at = anyio.current_time() + TIME_LEFT_S
        job = fleet.make_job('note', 'club', first_byte_due_at=due_at)
        errors = []

        async def find():
            try:
                await instance.finder.find(job)
            except kinds.ServingError as exc:
                errors.append(exc.kind)

        async with anyio.create_task_group() as tg:
            tg.start_soon(find)
            await anyio.sleep(TIME_LEFT_S)
            for _ in range(MANY_CHECKPOINTS):
                await anyio.lowlevel.checkpoint()
            tg.cancel_scope.cancel()
        self.assertEqual(errors, [kinds.ErrorKind.OVERLOADED])
