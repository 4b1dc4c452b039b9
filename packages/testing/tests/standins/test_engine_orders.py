import random
import unittest

import httpx
import trio
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import accelerator
from wagtailtide_testing.standins import engine
from wagtailtide_testing.standins import stores


def make_engine(**settings):
    return engine.Engine(
        engine.EngineSettings(**settings), rng=random.Random(1)
    )


def make_order(order_id, kind, fence=1, **fields):
    return {
        'order_id': order_id,
        'fence': fence,
        'kind': kind,
        'model': 'quotes',
        'version': 'v1',
        'bytes': 50,
        **fields,
    }


class EngineOrdersTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_delayed_order_is_run_after_its_sender_gave_up(self):
        # A real engine runs an order that has arrived even if the sender
        # timed out. A stand-in that cancelled it would hide such failures.
        standin = make_engine()
        standin.set_faults(delay_order_s=10)
        async with (
            serving.serve(engine.make_app(standin)) as url,
            httpx.AsyncClient(base_url=url, timeout=2) as client,
        ):
            with self.assertRaises(httpx.ReadTimeout):
                await client.post('/v1/orders', json=make_order('a', 'load'))
            self.assertEqual(standin.accelerator.models, {})
            await trio.sleep(9)
            self.assertIn('quotes@v1', standin.accelerator.models)

    @virtual_time.run_in_virtual_time
    async def test_a_duplicated_unload_removes_a_reloaded_model(self):
        # An engine that deduplicates orders ignores the second arrival.
        for dedupes_orders in (True, False):
            standin = make_engine(dedupes_orders=dedupes_orders)
            async with (
                serving.serve(engine.make_app(standin)) as url,
                httpx.AsyncClient(base_url=url) as client,
            ):
                standin.place_model('quotes@v1', 50)
                standin.set_faults(duplicate_orders=1, duplicate_after_s=20)
                for order in (
                    make_order('a', 'unload'),
                    make_order('b', 'load'),
                ):
                    await client.post('/v1/orders', json=order)
                    await trio.sleep(5)
                standin.advance(trio.current_time())
                resident = standin.accelerator.models['quotes@v1']
                self.assertEqual(resident.state, accelerator.READY)
                await trio.sleep(20)
                standin.advance(trio.current_time())
            self.assertEqual(
                'quotes@v1' in standin.accelerator.models, dedupes_orders
            )

    @virtual_time.run_in_virtual_time
    async def test_unloading_waits_for_running_requests_and_keeps_memory(self):
        standin = make_engine(token_s=1)
        standin.place_model('quotes@v1', 50)
        body = {'model': 'quotes@v1', 'prompt': 'x', 'max_tokens': 10}
        async with (
            serving.serve(engine.make_app(standin)) as url,
            httpx.AsyncClient(base_url=url, timeout=60) as client,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(
                lambda: client.post('/v1/completions', json=body)
            )
            await trio.sleep(2)
            order = make_order('a', 'unload')
            await client.post('/v1/orders', json=order)
            await trio.sleep(2)
            standin.advance(trio.current_time())
            self.assertEqual(standin.accelerator.used_bytes, 50)
            refused = await client.post('/v1/completions', json=body)
        self.assertEqual(standin.accelerator.used_bytes, 0)
        error = refused.json()['error']
        self.assertEqual(error['kind'], 'model_not_resident')
        self.assertEqual(error['fate'], 'not_run')

    @virtual_time.run_in_virtual_time
    async def test_a_cancelled_request_frees_its_slot(self):
        standin = make_engine(token_s=1, slots=1)
        standin.place_model('quotes@v1', 50)
        body = {'model': 'quotes@v1', 'prompt': 'x', 'max_tokens': 20}
        async with (
            serving.serve(engine.make_app(standin)) as url,
            httpx.AsyncClient(base_url=url, timeout=60) as client,
            trio.open_nursery() as nursery,
        ):

            async def run():
                with self.assertRaises(httpx.TransportError):
                    await client.post(
                        '/v1/completions',
                        json=body,
                        headers={'x-request-id': 'r1'},
                    )

            nursery.start_soon(run)
            await trio.sleep(2)
            self.assertEqual(standin.batch.running, 1)
            await client.post('/v1/cancel', json={'request_id': 'r1'})
            await trio.sleep(1)
            self.assertEqual(standin.batch.running, 0)

    def test_adapter_fetches_slow_down_in_proportion_beyond_the_knee(self):
        store = stores.AdapterStore(knee=10, min_s=0.01, max_s=0.01)
        times_s = [store.fetch(0.0) for _ in range(20)]
        self.assertEqual(times_s[:10], [0.01] * 10)
        self.assertAlmostEqual(times_s[19], 0.02)
