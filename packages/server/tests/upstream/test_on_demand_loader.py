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
        # Guards against a model that stays unavailable until an operator
        # raises its minimum number of replicas.
        deployment = empty_engines()
        async with deployment.running() as caller:
            await anyio.sleep(10)
            short_deadline = await caller.post(
                '/v1/completions',
                json=harness.completion(),
                headers={**deployment.auth(), 'x-deadline-ms': '2000'},
            )
            refused_at = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(self._record_status, deployment)
                served = await caller.post(
                    '/v1/completions',
                    json=harness.completion(),
                    headers=deployment.auth(),
                )
            took_s = anyio.current_time() - refused_at
        error = short_deadline.json()['error']
        self.assertEqual(error['kind'], 'model_loading')
        self.assertEqual(error['fate'], 'not_run')
        self.assertGreaterEqual(int(short_deadline.headers['retry-after']), 2)
        self.assertEqual(served.status_code, 200)
        self.assertEqual(harness.events_of(served.text)[0][-1], '[DONE]')
        self.assertLess(took_s, 30)
        # Operators must be able to see what a slow request waits for.
        self.assertEqual(list(self.status['waiting']), ['letters urdu'])
        server = self.status['backend_servers']['engine-0']
        self.assertEqual((server['owner'], server['models']), ('a-1', ''))
        self.assertEqual(self.status['members']['a-1']['state'], 'live')

    async def _record_status(self, deployment):
        await anyio.sleep(0.3)
        self.status = (await deployment.ask_admin('/status')).json()

    @virtual_time.run_in_virtual_time
    async def test_a_planned_stop_releases_servers_and_session(self):
        # Without the release, the next owner has to wait for the whole
        # ownership horizon.
        deployment = empty_engines()
        async with deployment.running():
            await anyio.sleep(10)
            objects = deployment.platform.objects
            before = objects.get('servers/engine-0')
            self.assertIsNotNone(objects.get('sessions/a-1'))
            deployment.inst.request_stop()
            with anyio.fail_after(60):
                await deployment.stopped.wait()
            after = objects.get('servers/engine-0')
            self.assertIsNone(objects.get('sessions/a-1'))
        self.assertEqual(_owner(before), 'a-1')
        self.assertIsNone(_owner(after))


def _owner(found):
    return ownership.ServerRecord.decode(found.value).owner


if __name__ == '__main__':
    unittest.main()
