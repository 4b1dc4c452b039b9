import base64
import json
import random
import unittest

import anyio
import httpx
from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import client
from wagtailtide_testing import virtual_time


class ScriptedPlatform:
    """Platform with one object; each call has the next of a list of faults."""

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.version, self.value = 0, None
        self.calls = 0

    async def __call__(self, req):
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else None
        if fault == 'refused':
            raise httpx.ConnectError('refused')
        if isinstance(fault, int):
            return httpx.Response(fault)
        if fault == 'lost_request':
            raise httpx.ReadTimeout('no response')
        response = self.apply(req)
        if fault == 'lost_response':
            await anyio.sleep(3600)
        return response

    def apply(self, req):
        if req.method == 'GET':
            if self.value is None:
                return httpx.Response(404)
            value = base64.b64encode(self.value).decode()
            body = {'key': 'k', 'version': self.version, 'value': value}
            return httpx.Response(200, json=body)
        expected = req.headers.get('If-Match')
        current = str(self.version) if self.value is not None else None
        if expected != current:
            return httpx.Response(412)
        self.version += 1
        self.value = base64.b64decode(json.loads(req.content)['value'])
        return httpx.Response(200, json={'version': self.version})


def make_store(platform):
    return client.StoreClient(
        'http://platform',
        rng=random.Random(1),
        transport=httpx.MockTransport(platform),
    )


class WriteOutcomeTest(unittest.TestCase):
    """Guards against treating a lost response as a failed write."""

    @virtual_time.run_in_virtual_time
    async def test_each_failure_raises_the_error_for_what_is_known(self):
        for fault, error in (
            ('refused', client.Unavailable),
            (503, client.Unavailable),
            (429, client.RateLimited),
            (412, client.Conflict),
            (413, client.ValueTooLarge),
            (500, client.WriteUnknown),
            ('lost_request', client.WriteUnknown),
            ('lost_response', client.WriteUnknown),
        ):
            with self.subTest(fault=fault):
                async with make_store(ScriptedPlatform([fault])) as store:
                    with self.assertRaises(error):
                        await store.put('k', b'v', None)

    @virtual_time.run_in_virtual_time
    async def test_a_write_with_a_lost_response_is_found_by_reading(self):
        platform = ScriptedPlatform(['lost_response', 503, 503])
        async with make_store(platform) as store:
            self.assertEqual(await store.put_and_resolve('k', b'v', None), 1)
        self.assertEqual(platform.version, 1)

    @virtual_time.run_in_virtual_time
    async def test_a_lost_request_is_sent_again_with_the_same_condition(self):
        platform = ScriptedPlatform(['lost_request'])
        async with make_store(platform) as store:
            self.assertEqual(await store.put_and_resolve('k', b'v', None), 1)

    @virtual_time.run_in_virtual_time
    async def test_a_write_that_another_preceded_cannot_apply_any_more(self):
        platform = ScriptedPlatform(['lost_request'])
        async with make_store(platform) as store:
            with self.assertRaises(client.WriteUnknown):
                await store.put('k', b'mine', None)
            await store.put('k', b'other', None)
            outcome = await store.resolve_write('k', lambda v: v == b'mine')
        self.assertFalse(outcome.written)
        self.assertFalse(outcome.may_still_apply)

    @virtual_time.run_in_virtual_time
    async def test_a_closed_client_is_unavailable(self):
        # During a stop, tasks that still use the client must not crash.
        store = make_store(ScriptedPlatform())
        await store.aclose()
        for call in (store.get('k'), store.put('k', b'v', None)):
            with self.assertRaises(client.Unavailable):
                await call


class CallBudgetTest(unittest.TestCase):
    """Guards against one instance using up the platform's rates."""

    @virtual_time.run_in_virtual_time
    async def test_calls_over_a_long_time_stay_within_the_budget(self):
        platform = ScriptedPlatform()
        async with make_store(platform) as store:
            started = anyio.current_time()
            for _ in range(100):
                await store.get('k', activity=budgets.Activity.CONFIG)
            took = anyio.current_time() - started
        allowed = budgets.MIN_READS_PER_S * (budgets.BURST_S + took)
        self.assertLessEqual(100, allowed + 1)
        self.assertEqual(
            store.budget.calls[budgets.Activity.CONFIG, 'read'], 100
        )

    def test_a_smaller_fleet_has_higher_rates_for_each_instance(self):
        # Guards against refusing requests with idempotency keys for lack of
        # call budget while the platform is idle.
        fleet_rate = budgets.FLEET_WRITES_PER_S
        for members, rate in ((16, fleet_rate / 16), (390, 1.0)):
            budget = budgets.CallBudget(random.Random(1))
            budget.set_fleet_size(members)
            waits = [
                budget.reserve(budgets.Activity.CLAIMS, True, now=0.0)
                for _ in range(400)
            ]
            burst = budgets.MIN_WRITES_PER_S * budgets.BURST_S
            self.assertAlmostEqual(max(waits), (400 - burst) / rate)

    def test_background_work_backs_off_before_claims(self):
        budget = budgets.CallBudget(random.Random(2))
        now = 100.0
        budget.record_rate_limited(budgets.Activity.LISTS, now)
        self.assertEqual(budget.reserve('claims', True, now), 0)
        self.assertGreater(budget.reserve('lists', False, now), 0)
        for _ in range(budgets.REFUSALS_BEFORE_CLAIMS_WAIT):
            budget.record_rate_limited(budgets.Activity.CLAIMS, now)
        self.assertGreater(budget.reserve('claims', True, now), 0)


class AbandonedCallsTest(unittest.TestCase):
    """Guards against abandoned calls that use up the budget of others."""

    @virtual_time.run_without_io
    async def test_abandoned_calls_use_no_budget(self):
        async with make_store(ScriptedPlatform()) as store:
            for _ in range(100):
                with anyio.move_on_after(0.05):
                    await store.get('k')
            for _ in range(100):
                store.budget.reserve('other', False, anyio.current_time())
            for _ in range(100):
                with self.assertRaises(client.RateLimited):
                    await store.get('k')
            # The 100 reservations made directly take 25 s at 4 a second.
            await anyio.sleep(30)
            started = anyio.current_time()
            await store.get('k')
            self.assertLess(anyio.current_time() - started, 0.1)
