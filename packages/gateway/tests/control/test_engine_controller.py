import types
import unittest

import anyio
from wagtailtide_gateway.control import engine_controller
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import leader_fixture


class EngineControllerTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_engines_are_read_again_after_an_unexpected_error(self):
        # Guards against a load that does not fit: the steps ended with the
        # error, but the engines still carry out their orders.
        fixture = leader_fixture.LeaderFixture(builders.make_server('e1'))
        controller = engine_controller.EngineController(
            types.SimpleNamespace(
                config=fixture.config, servers=fixture.servers
            ),
            fixture.cluster,
            types.SimpleNamespace(is_leader=False, fence=None),
            builders.make_settings(),
            None,
            None,
            None,
        )
        controller._fleet.start_term(1)
        controller._fleet.sync_with_list()
        async with anyio.create_task_group() as tg:
            tg.start_soon(controller.run)
            await anyio.sleep(0.5)
            tg.cancel_scope.cancel()
        self.assertEqual({}, controller._fleet.engines)
        self.assertIsNone(controller._fleet.fence)
