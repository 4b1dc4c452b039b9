import json
import unittest
from unittest import mock

import anyio
from wagtailtide_server.http import completions
from wagtailtide_testing import virtual_time

from tests import harness


class UnconfirmedKeyTest(unittest.TestCase):
    """Guards against a stream that continues after its key was withdrawn."""

    async def stream(self, deployment, caller):
        started = anyio.current_time()
        resp = await caller.post(
            '/v1/completions',
            json=harness.completion(max_tokens=20),
            headers=deployment.auth(),
        )
        return resp, anyio.current_time() - started

    @virtual_time.run_in_virtual_time
    async def test_a_stream_ends_on_an_isolated_instance(self):
        deployment = harness.Deployment(token_s=1.0, engines=1)
        async with deployment.running() as caller:
            deployment.platform.set_faults(outage='503')
            resp, took_s = await self.stream(deployment, caller)
        data, _ = harness.events_of(resp.text)
        error = json.loads(data[-1])['error']
        self.assertEqual(error['kind'], 'keys_unconfirmed')
        self.assertGreater(took_s, 10)
        self.assertLess(took_s, 14)

    @virtual_time.run_in_virtual_time
    async def test_a_stream_survives_a_short_outage(self):
        deployment = harness.Deployment(token_s=1.0, engines=1)
        async with (
            deployment.running() as caller,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._interrupt_store, deployment)
            resp, _ = await self.stream(deployment, caller)
        data, _ = harness.events_of(resp.text)
        self.assertEqual(data[-1], '[DONE]')

    @virtual_time.run_in_virtual_time
    async def test_a_request_that_ends_before_it_is_sent_is_not_run(self):
        # Guards against sending it after its fate was reported as not_run.
        deployment = harness.Deployment(engines=1)
        with mock.patch.object(completions, 'UNCONFIRMED_GRACE_S', -1.0):
            async with deployment.running() as caller:
                resp, _ = await self.stream(deployment, caller)
        error = resp.json()['error']
        self.assertEqual(
            (error['kind'], error['fate']), ('keys_unconfirmed', 'not_run')
        )

    async def _interrupt_store(self, deployment):
        deployment.platform.set_faults(outage='503')
        await anyio.sleep(8)
        deployment.platform.set_faults(outage='')

    @virtual_time.run_in_virtual_time
    async def test_a_withdrawal_takes_effect_when_an_outage_ends(self):
        # The key is withdrawn as soon as the store accepts writes again.
        deployment = harness.Deployment(token_s=1.0, engines=1)
        async with deployment.running() as caller:
            async with anyio.create_task_group() as group:
                group.start_soon(self._withdraw_after_outage, deployment)
                resp, took_s = await self.stream(deployment, caller)
            refused, _ = await self.stream(deployment, caller)
        data, _ = harness.events_of(resp.text)
        self.assertEqual(
            json.loads(data[-1])['error']['kind'], 'key_withdrawn'
        )
        self.assertLess(took_s, 13)
        self.assertEqual(refused.status_code, 401)

    async def _withdraw_after_outage(self, deployment):
        await self._interrupt_store(deployment)
        deployment.keys['tiles'][0]['withdrawn'] = True
        deployment.publish()
