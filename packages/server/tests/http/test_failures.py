import json
import unittest

import anyio
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import stores
from wagtailtide_testing.standins import tokens

from tests import harness

PROMPT = 'write a long letter'


def expected(max_tokens=12):
    return tokens.expected_text('letters@1', 'urdu', PROMPT, max_tokens)


async def stream(deployment, caller, **fields):
    fields = {'max_tokens': 12, **fields}
    return await caller.post(
        '/v1/completions',
        json=harness.completion(PROMPT, **fields),
        headers=deployment.auth(),
    )


class StreamFailureTest(unittest.TestCase):
    def check_whole(self, resp):
        self.assertEqual(resp.status_code, 200, resp.text)
        data, text = harness.events_of(resp.text)
        self.assertEqual(text, expected())
        self.assertEqual(data[-1], '[DONE]')
        ids = {json.loads(d)['id'] for d in data[:-1]}
        self.assertEqual(ids, {resp.headers['x-request-id']})

    @virtual_time.run_in_virtual_time
    async def test_a_cut_stream_is_resumed_without_loss_or_repetition(self):
        deployment = harness.Deployment()
        for state in deployment.engines:
            state.set_faults(cut_streams=1, cut_after_tokens=4)
        async with deployment.running() as caller:
            self.check_whole(await stream(deployment, caller))

    @virtual_time.run_in_virtual_time
    async def test_a_silent_stream_is_resumed_within_seconds(self):
        deployment = harness.Deployment(token_s=0.25)
        async with deployment.running() as caller:
            started = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(self._silence_running, deployment)
                resp = await stream(deployment, caller)
            self.assertLess(anyio.current_time() - started, 10)
        self.check_whole(resp)

    async def _silence_running(self, deployment):
        await anyio.sleep(0.5)
        for state in deployment.engines:
            if state.jobs:
                state.set_faults(silent=True)

    @virtual_time.run_in_virtual_time
    async def test_a_stream_survives_a_crash(self):
        deployment = harness.Deployment(token_s=0.25)
        async with (
            deployment.running() as caller,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._crash_running, deployment)
            resp = await stream(deployment, caller)
        self.check_whole(resp)

    async def _crash_running(self, deployment):
        await anyio.sleep(0.5)
        for state in deployment.engines:
            if state.jobs:
                state.set_faults(crash=True)

    @virtual_time.run_in_virtual_time
    async def test_a_response_to_another_request_is_not_delivered(self):
        deployment = harness.Deployment()
        for state in deployment.engines:
            state.set_faults(crossed_answers=1)
        async with deployment.running() as caller:
            self.check_whole(await stream(deployment, caller))

    @virtual_time.run_in_virtual_time
    async def test_a_draining_engine_gets_no_new_request(self):
        deployment = harness.Deployment()
        async with deployment.running() as caller:
            deployment.engines[0].set_faults(draining=True)
            for _ in range(4):
                self.check_whole(await stream(deployment, caller))
            await anyio.sleep(3)
            before = len(completions_at(deployment.engines[0]))
            for _ in range(4):
                self.check_whole(await stream(deployment, caller))
            after = len(completions_at(deployment.engines[0]))
        self.assertLessEqual(before, 1)
        self.assertEqual(after, before)

    @virtual_time.run_in_virtual_time
    async def test_a_stream_that_cannot_be_resumed_ends_with_an_error(self):
        # Guards against a truncated response that looks complete.
        deployment = harness.Deployment()
        for state in deployment.engines:
            state.set_faults(cut_streams=99, cut_after_tokens=3)
        async with deployment.running() as caller:
            resp = await stream(deployment, caller)
        data, text = harness.events_of(resp.text)
        self.assertTrue(expected().startswith(text))
        self.assertNotIn('[DONE]', data)
        error = json.loads(data[-1])['error']
        self.assertEqual(error['kind'], 'stream_broken')
        self.assertEqual(error['fate'], 'unknown')

    @virtual_time.run_in_virtual_time
    async def test_a_crashing_request_is_refused_after_three_crashes(self):
        deployment = harness.Deployment(engines=5)
        for state in deployment.engines:
            state.set_faults(crash_on=PROMPT)
        async with deployment.running() as caller:
            first = await stream(deployment, caller)
            again = await stream(deployment, caller)
            other = await caller.post(
                '/v1/completions',
                json=harness.completion(model='letters'),
                headers=deployment.auth(),
            )
        crashes = sum(e.counters['crashes'] for e in deployment.engines)
        self.assertEqual(crashes, 3)
        self.assertEqual(first.status_code, 422, first.text)
        self.assertEqual(first.json()['error']['fate'], 'unknown')
        self.assertEqual(again.status_code, 422)
        self.assertEqual(again.json()['error']['kind'], 'request_quarantined')
        self.assertEqual(again.json()['error']['fate'], 'not_run')
        self.assertEqual(other.status_code, 200, other.text)

    @virtual_time.run_in_virtual_time
    async def test_adapter_fetches_stay_within_the_deployments_limit(self):
        # Guards against a burst of requests for new adapters that slows every
        # fetch in the deployment.
        shared = stores.AdapterStore(knee=4, min_s=0.5, max_s=0.5)
        deployment = harness.Deployment(adapter_bytes=1_000, slots=64)
        deployment.adapters = [f'a{n}' for n in range(12)]
        deployment.weight_store = {'parallel_adapter_fetches': 4}
        for state in deployment.engines:
            state.adapter_store = shared
        async with (
            deployment.running() as caller,
            anyio.create_task_group() as group,
        ):
            for name in deployment.adapters:
                group.start_soon(self._use, deployment, caller, name)
        self.assertLessEqual(shared.most_in_flight, 4)
        self.assertGreaterEqual(shared.most_in_flight, 2)

    async def _use(self, deployment, caller, adapter):
        resp = await stream(
            deployment, caller, model=f'letters:{adapter}', max_tokens=2
        )
        self.assertEqual(resp.status_code, 200, resp.text)

    @virtual_time.run_in_virtual_time
    async def test_a_stream_that_outlasts_the_grace_period_is_resumed(self):
        deployment = harness.Deployment(token_s=1.0)
        deployment.stop = {'grace_s': 3.0}
        async with (
            deployment.running() as caller,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._leave, deployment)
            resp = await stream(deployment, caller)
        self.check_whole(resp)
        counts = [len(completions_at(e)) for e in deployment.engines]
        self.assertEqual(counts, [1, 1])
        self.assertEqual(deployment.inst.dispatcher.crashes.records(0), ())

    async def _leave(self, deployment):
        await anyio.sleep(1.5)
        items = [
            {'name': name, 'address': address, 'zone': 'gulberg'}
            for name, address in deployment.addresses.items()
        ]
        for item, state in zip(items, deployment.engines, strict=False):
            if state.jobs:
                item['state'] = 'leaving'
        deployment.platform.set_list(
            'backend_servers', items, anyio.current_time()
        )

    @virtual_time.run_in_virtual_time
    async def test_full_engines_refuse_at_once_with_fate_not_run(self):
        deployment = harness.Deployment(max_waiting=0, slots=1, token_s=0.5)
        async with (
            deployment.running() as caller,
            anyio.create_task_group() as group,
        ):
            for _ in range(2):
                group.start_soon(stream, deployment, caller)
            await anyio.sleep(1)
            resp = await stream(deployment, caller)
        self.assertEqual(resp.status_code, 503, resp.text)
        error = resp.json()['error']
        self.assertEqual(error['kind'], 'overloaded')
        self.assertEqual(error['fate'], 'not_run')
        self.assertIn('retry-after', resp.headers)

    @virtual_time.run_in_virtual_time
    async def test_a_crash_seen_by_one_instance_counts_on_another(self):
        # Guards against a caller that sends a crashing request to one instance
        # after another.
        deployment = harness.Deployment(engines=5)
        for state in deployment.engines:
            state.set_faults(crash_on=PROMPT)
        async with (
            deployment.running() as caller,
            deployment.another('a-2') as other_caller,
        ):
            await stream(deployment, caller)
            await anyio.sleep(3)
            resp = await stream(deployment, other_caller)
        self.assertEqual(resp.status_code, 422, resp.text)
        self.assertEqual(resp.json()['error']['fate'], 'not_run')
        crashes = sum(e.counters['crashes'] for e in deployment.engines)
        self.assertEqual(crashes, 3)

    @virtual_time.run_in_virtual_time
    async def test_a_caller_that_waits_gets_keep_alive_comments(self):
        deployment = harness.Deployment(prefill_token_s=2.0)
        async with deployment.running() as caller:
            resp = await stream(deployment, caller)
        self.check_whole(resp)
        self.assertIn(': keep-alive', resp.text)

    @virtual_time.run_in_virtual_time
    async def test_a_caller_that_leaves_cancels_its_request(self):
        deployment = harness.Deployment(token_s=0.25, engines=1)
        async with deployment.running() as caller:
            with anyio.move_on_after(0.5):
                await stream(deployment, caller)
            await anyio.sleep(0.5)
            self.assertEqual(deployment.engines[0].jobs, {})
            self.assertEqual(deployment.inst.open_requests, 0)
        self.assertEqual(deployment.engines[0].counters['cancelled'], 1)

    @virtual_time.run_in_virtual_time
    async def test_a_withdrawn_key_ends_its_streams(self):
        deployment = harness.Deployment(token_s=0.25, engines=1)
        async with deployment.running() as caller:
            async with anyio.create_task_group() as group:
                group.start_soon(self._withdraw, deployment)
                started = anyio.current_time()
                resp = await stream(deployment, caller, max_tokens=24)
                took_s = anyio.current_time() - started
            refused = await stream(deployment, caller)
        data, _ = harness.events_of(resp.text)
        error = json.loads(data[-1])['error']
        self.assertEqual(error['kind'], 'key_withdrawn')
        self.assertLess(took_s, 3)
        self.assertEqual(refused.status_code, 401)

    async def _withdraw(self, deployment):
        await anyio.sleep(0.3)
        deployment.keys['tiles'][0]['withdrawn'] = True
        deployment.publish()

    @virtual_time.run_in_virtual_time
    async def test_a_passed_deadline_is_answered_at_once(self):
        deployment = harness.Deployment(token_s=0.25, engines=1)
        async with deployment.running() as caller:
            resp = await caller.post(
                '/v1/completions',
                json=harness.completion(stream=False, max_tokens=24),
                headers={**deployment.auth(), 'X-Deadline-Ms': '200'},
            )
        error = resp.json()['error']
        self.assertEqual(error['kind'], 'deadline_unreachable')
        self.assertEqual(error['fate'], 'unknown')


def completions_at(state):
    return [
        req
        for req in state.recorder.requests
        if req['path'] == '/v1/completions'
    ]
