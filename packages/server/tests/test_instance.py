import os
import signal
import unittest
from unittest import mock

import anyio
import httpx
from wagtailtide_server import instance
from wagtailtide_testing import virtual_time

from tests import harness


class ShutdownTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_planned_stop_interrupts_no_request(self):
        deployment = harness.Deployment(engines=1, token_s=1.0)
        async with deployment.running() as caller:
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.sleep(0.1)
            self.assertFalse(deployment.inst.stopping)
            results = []

            async def stream():
                results.append(
                    await caller.post(
                        '/v1/completions',
                        json=harness.completion(max_tokens=20),
                        headers=deployment.auth(),
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(stream)
                await anyio.sleep(1)
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(1)
                ready = await deployment.ask_admin('/readyz')
                during_lag = await caller.get('/public/hours')
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(5)
                after_lag = await caller.get('/public/hours')
                self.assertFalse(deployment.stopped.is_set())
            with anyio.fail_after(10):
                await deployment.stopped.wait()
        self.assertEqual(ready.status_code, 503)
        self.assertEqual(ready.json()['reason'], 'stopping')
        self.assertEqual(during_lag.status_code, 200)
        error = after_lag.json()['error']
        self.assertEqual(error['kind'], 'shutting_down')
        self.assertEqual(error['fate'], 'not_run')
        data, _ = harness.events_of(results[0].text)
        self.assertEqual(data[-1], '[DONE]')

    @virtual_time.run_in_virtual_time
    async def test_a_request_that_a_stop_cuts_off_is_counted(self):
        deployment = harness.Deployment(engines=1, token_s=1.0)
        name = 'stop_interrupts_no_request'
        with mock.patch.object(instance, 'DRAIN_TIMEOUT_S', 2.0):
            async with (
                deployment.running() as caller,
                anyio.create_task_group() as group,
            ):
                group.start_soon(self._stream_until_cut, deployment, caller)
                await anyio.sleep(1)
                deployment.inst.request_stop()
                with anyio.fail_after(20):
                    await deployment.stopped.wait()
                violated = deployment.inst.invariants.violated
                self.assertEqual(violated.pop(name), 1)

    @virtual_time.run_in_virtual_time
    async def test_a_stop_while_its_engine_drains_interrupts_no_request(self):
        deployment = harness.Deployment(engines=2, token_s=1.0)
        deployment.stop = {'grace_s': 3.0}
        async with deployment.running() as caller:
            results = []

            async def stream():
                results.append(
                    await caller.post(
                        '/v1/completions',
                        json=harness.completion(max_tokens=12),
                        headers=deployment.auth(),
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(stream)
                await anyio.sleep(1.5)
                deployment.inst.request_stop()
                for state in deployment.engines:
                    if state.jobs:
                        state.set_faults(draining=True)
            with anyio.fail_after(20):
                await deployment.stopped.wait()
        data, text = harness.events_of(results[0].text)
        self.assertEqual(data[-1], '[DONE]')
        self.assertEqual(len(text.split()), 12)
        both_used = [
            any(r['path'] == '/v1/completions' for r in e.recorder.requests)
            for e in deployment.engines
        ]
        self.assertEqual(both_used, [True, True])

    async def _stream_until_cut(self, deployment, caller):
        with self.assertRaises(httpx.TransportError):
            await caller.post(
                '/v1/completions',
                json=harness.completion(max_tokens=20),
                headers=deployment.auth(),
            )


class StartTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_new_instance_refuses_until_it_knows_its_servers(self):
        # Guards against refusing requests for resident models and running
        # services after the configuration was read, but before the first
        # reports of the backend servers.
        deployment = harness.Deployment()
        kinds_seen = set()
        async with deployment.running():
            inst = await deployment.start_another('a-2')
            async with harness.caller_of(inst) as caller:
                for _ in range(40):
                    for resp in (
                        await caller.get('/public/hours'),
                        await caller.post(
                            '/v1/completions',
                            json=harness.completion(max_tokens=1),
                            headers=deployment.auth(),
                        ),
                    ):
                        served = resp.status_code == 200
                        error = {} if served else resp.json()['error']
                        kinds_seen.add(error.get('kind'))
                    await anyio.sleep(0.05)
        self.assertEqual(kinds_seen, {'not_ready', None})


class AdminTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_the_dump_says_where_a_request_would_go(self):
        deployment = harness.Deployment()
        async with deployment.running() as caller:
            deployment.engines[0].set_faults(draining=True)
            await anyio.sleep(3)
            refused = await caller.post(
                '/v1/completions',
                json=harness.completion(model='absent'),
                headers={**deployment.auth(), 'x-deadline-ms': '2000'},
            )
            resp = await deployment.ask_admin(
                '/dump?model=letters:urdu&organisation=tiles'
            )
            other = await deployment.ask_admin('/dump?organisation=fans')
            metrics = await deployment.ask_admin('/metrics')
            health = await deployment.ask_admin('/healthz')
        self.assertEqual(refused.json()['error']['kind'], 'model_loading')
        choice = resp.json()['choice']
        self.assertTrue(choice['organisation_may_use_it'])
        reasons = {
            name: server['reason_against']
            for name, server in choice['servers'].items()
        }
        self.assertEqual(
            reasons,
            {
                'engine-0': 'draining',
                'engine-1': None,
                'ledger': 'model_not_ready',
            },
        )
        members = resp.json()['members']
        self.assertEqual(members['a-1']['state'], 'live')
        use = resp.json()['status']['organisations']['tiles']
        self.assertEqual((use['share'], use['refused']), (1.0, 0))
        (refusal,) = resp.json()['refusals']
        self.assertEqual(refusal['kind'], 'model_loading')
        self.assertEqual(other.json()['refusals'], [])
        self.assertIn('wagtailtide_invariants_checked_total', metrics.text)
        self.assertNotIn(deployment.key, resp.text + metrics.text)
        self.assertEqual(health.status_code, 200)

    @virtual_time.run_in_virtual_time
    async def test_unconfirmed_keys_are_refused_but_open_routes_work(self):
        # Guards against accepting a key that was withdrawn while the store
        # was unavailable.
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            deployment.platform.set_faults(outage='503')
            await anyio.sleep(15)
            refused = await caller.get('/claims/1', headers=deployment.auth())
            opened = await caller.get('/public/1', headers=deployment.auth())
        error = refused.json()['error']
        self.assertEqual(error['kind'], 'keys_unconfirmed')
        self.assertEqual(error['fate'], 'not_run')
        self.assertIn('retry-after', refused.headers)
        self.assertEqual(opened.status_code, 200)
