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
        # Guards against a fault that is milder than the real one: the
        # sender's timeout must not take the order back.
        made = make_engine()
        made.set_faults(delay_order_s=10)
        async with (
            serving.serve(engine.make_app(made)) as url,
            httpx.AsyncClient(base_url=url, timeout=2) as client,
        ):
            with self.assertRaises(httpx.ReadTimeout):
                await client.post('/v1/orders', json=make_order('a', 'load'))
            self.assertEqual(made.accelerator.models, {})
            await trio.sleep(9)
            self.assertIn('quotes@v1', made.accelerator.models)

    @virtual_time.run_in_virtual_time
    async def test_a_duplicated_unload_takes_a_reloaded_model_away(self):
        # An engine that knows order ids ignores the second arrival.
        for dedupes in (True, False):
            made = make_engine(dedupes_orders=dedupes)
            async with (
                serving.serve(engine.make_app(made)) as url,
                httpx.AsyncClient(base_url=url) as client,
            ):
                made.place_model('quotes@v1', 50)
                made.set_faults(duplicate_orders=1, duplicate_after_s=20)
                for order in (
                    make_order('a', 'unload'),
                    make_order('b', 'load'),
                ):
                    await client.post('/v1/orders', json=order)
                    await trio.sleep(5)
                made.advance(trio.current_time())
                held = made.accelerator.models['quotes@v1']
                self.assertEqual(held.state, accelerator.READY)
                await trio.sleep(20)
                made.advance(trio.current_time())
            self.assertEqual('quotes@v1' in made.accelerator.models, dedupes)

    @virtual_time.run_in_virtual_time
    async def test_unloading_waits_for_running_requests_and_keeps_memory(self):
        made = make_engine(token_s=1)
        made.place_model('quotes@v1', 50)
        body = {'model': 'quotes@v1', 'prompt': 'x', 'max_tokens': 10}
        async with (
            serving.serve(engine.make_app(made)) as url,
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
            made.advance(trio.current_time())
            self.assertEqual(made.accelerator.used_bytes, 50)
            refused = await client.post('/v1/completions', json=body)
        self.assertEqual(made.accelerator.used_bytes, 0)
        error = refused.json()['error']
        self.assertEqual(error['kind'], 'model_not_resident')
        self.assertEqual(error['fate'], 'not_run')

    @virtual_time.run_in_virtual_time
    async def test_a_cancelled_request_frees_its_slot(self):
        made = make_engine(token_s=1, slots=1)
        made.place_model('quotes@v1', 50)
        body = {'model': 'quotes@v1', 'prompt': 'x', 'max_tokens': 20}
        async with (
            serving.serve(engine.make_app(made)) as url,
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
            self.assertEqual(made.batch.running, 1)
            await client.post('/v1/cancel', json={'request_id': 'r1'})
            await trio.sleep(1)
            self.assertEqual(made.batch.running, 0)

    def test_adapter_fetches_slow_down_in_proportion_beyond_the_knee(self):
        store = stores.AdapterStore(knee=10, min_s=0.01, max_s=0.01)
        times_s = [store.fetch(0.0) for _ in range(20)]
        self.assertEqual(times_s[:10], [0.01] * 10)
        self.assertAlmostEqual(times_s[19], 0.02)
