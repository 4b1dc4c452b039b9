import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests import harness


async def issue(
    deployment, caller, key='order-1', body='{"set": 7}', **extra_headers
):
    headers = {**deployment.auth(), **extra_headers}
    if key is not None:
        headers['Idempotency-Key'] = key
    return await caller.post('/issue/blanks', content=body, headers=headers)


class NonIdempotentTest(unittest.TestCase):
    def check_error(self, resp, status, kind, fate):
        self.assertEqual(resp.status_code, status, resp.text)
        error = resp.json()['error']
        self.assertEqual((error['kind'], error['fate']), (kind, fate))

    @virtual_time.run_in_virtual_time
    async def test_a_repeated_key_replays_the_outcome(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            first = await issue(deployment, caller)
            again = await issue(deployment, caller)
            other = await issue(deployment, caller, body='{"set": 8}')
        self.assertEqual(again.json(), first.json())
        self.assertEqual(again.status_code, 201)
        self.assertEqual(again.headers['idempotency-replayed'], 'true')
        self.check_error(other, 422, 'body_mismatch', 'not_run')
        self.assertEqual(len(deployment.ledger.applied), 1)

    @virtual_time.run_in_virtual_time
    async def test_a_call_whose_answer_was_lost_is_not_run_again(self):
        # Guards against running a non-idempotent call twice when the answer to
        # the first request was lost.
        for key in ('order-1', None):
            deployment = harness.Deployment(engines=0)
            async with deployment.running() as caller:
                deployment.ledger.set_faults(crash_after_apply=1)
                lost = await issue(deployment, caller, key)
                self.check_error(lost, 409, 'outcome_unknown', 'unknown')
                self.assertEqual(len(deployment.ledger.applied), 1)
                if key is None:
                    continue
                again = await issue(deployment, caller, key)
                self.check_error(again, 409, 'outcome_unknown', 'unknown')
                self.assertEqual(len(deployment.ledger.applied), 1)

    @virtual_time.run_in_virtual_time
    async def test_a_refused_request_may_be_sent_again(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            deployment.ledger.set_faults(draining=True)
            refused = await issue(deployment, caller)
            self.check_error(refused, 503, 'no_backend_server', 'not_run')
            deployment.ledger.set_faults(draining=False)
            deployment.inst.dispatcher.set_draining('ledger', False)
            again = await issue(deployment, caller)
        self.assertEqual(again.status_code, 201, again.text)
        self.assertEqual(len(deployment.ledger.applied), 1)

    @virtual_time.run_in_virtual_time
    async def test_a_caller_that_disconnected_gets_the_outcome_later(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            deployment.ledger.set_faults(delay_s=2.0)
            with anyio.move_on_after(0.5):
                await issue(deployment, caller)
            running = await issue(deployment, caller)
            self.check_error(running, 409, 'still_running', 'not_run')
            await anyio.sleep(5)
            again = await issue(deployment, caller)
        self.assertEqual(again.status_code, 201, again.text)
        self.assertEqual(len(deployment.ledger.applied), 1)

    @virtual_time.run_in_virtual_time
    async def test_a_truncated_or_foreign_answer_is_never_delivered(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            deployment.ledger.set_faults(cut_answers=1)
            cut = await issue(deployment, caller)
            self.check_error(cut, 409, 'outcome_unknown', 'unknown')
            deployment.ledger.set_faults(crossed_answers=1)
            crossed = await issue(deployment, caller, 'order-2')
            self.check_error(crossed, 409, 'outcome_unknown', 'unknown')

    @virtual_time.run_in_virtual_time
    async def test_claims_without_the_store_are_refused(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            first = await issue(deployment, caller, 'known')
            deployment.platform.set_faults(outage='503')
            refused = await issue(deployment, caller)
            again = await issue(deployment, caller, 'known')
        self.check_error(refused, 503, 'claims_unavailable', 'not_run')
        self.assertEqual(again.json(), first.json())
        self.assertEqual(len(deployment.ledger.applied), 1)


class IdempotentTest(unittest.TestCase):
    async def look_up(self, deployment, caller):
        return await caller.get('/claims/c1', headers=deployment.auth())

    @virtual_time.run_in_virtual_time
    async def test_a_lookup_survives_lost_and_swapped_answers(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            for fault in ('lose_requests', 'cut_answers', 'crossed_answers'):
                deployment.ledger.set_faults(**{fault: 1})
                resp = await self.look_up(deployment, caller)
                self.assertEqual(resp.status_code, 200, fault)
                self.assertEqual(resp.json()['id'], 'c1')

    @virtual_time.run_in_virtual_time
    async def test_a_lookup_on_a_silent_connection_is_hedged(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            await self.look_up(deployment, caller)
            deployment.ledger.set_faults(silent=True)
            started = anyio.current_time()
            resp = await self.look_up(deployment, caller)
        self.assertEqual(resp.status_code, 200)
        self.assertLess(anyio.current_time() - started, 4)

    @virtual_time.run_in_virtual_time
    async def test_retries_end_with_the_fate_of_the_request(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            deployment.ledger.set_faults(lose_requests=1_000)
            resp = await self.look_up(deployment, caller)
        # The failed attempts have opened the breaker of the only server.
        self.assertEqual(resp.status_code, 503, resp.text)
        self.assertEqual(resp.json()['error']['fate'], 'unknown')
        self.assertLess(len(deployment.ledger.recorder.requests), 20)
