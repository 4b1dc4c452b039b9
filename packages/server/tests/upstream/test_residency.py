import unittest

import anyio
from wagtailtide_core.leases import ownership
from wagtailtide_testing import virtual_time

from tests import harness


def empty_engines():
    deployment = harness.Deployment(models='', fetches_adapters=False)
    deployment.min_replicas = 0
    deployment.accelerators = 1
    return deployment


class LoadOnRequestTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_model_and_adapter_are_loaded_by_the_first_request(self):
        # Guards against a model that stays out of reach until an operator
        # raises its replicas.
        deployment = empty_engines()
        async with deployment.running() as caller:
            await anyio.sleep(10)
            hurried = await caller.post(
                '/v1/completions',
                json=harness.completion(),
                headers={**deployment.auth(), 'x-deadline-ms': '2000'},
            )
            refused_at = anyio.current_time()
            answered = await caller.post(
                '/v1/completions',
                json=harness.completion(),
                headers=deployment.auth(),
            )
            took_s = anyio.current_time() - refused_at
        error = hurried.json()['error']
        self.assertEqual(error['kind'], 'model_loading')
        self.assertEqual(error['fate'], 'not_run')
        self.assertGreaterEqual(int(hurried.headers['retry-after']), 2)
        self.assertEqual(answered.status_code, 200)
        self.assertEqual(harness.events_of(answered.text)[0][-1], '[DONE]')
        self.assertLess(took_s, 30)

    @virtual_time.run_in_virtual_time
    async def test_a_planned_stop_releases_servers_and_session(self):
        # Without the release the next owner waits for the whole horizon.
        deployment = empty_engines()
        async with deployment.running():
            await anyio.sleep(10)
            objects = deployment.platform.objects
            held = objects.get('servers/engine-0')
            self.assertIsNotNone(objects.get('sessions/a-1'))
            deployment.inst.order_stop()
            with anyio.fail_after(60):
                await deployment.stopped.wait()
            left = objects.get('servers/engine-0')
            self.assertIsNone(objects.get('sessions/a-1'))
        self.assertEqual(_owner(held), 'a-1')
        self.assertIsNone(_owner(left))


def _owner(found):
    return ownership.ServerRecord.decode(found.value).owner


if __name__ == '__main__':
    unittest.main()
