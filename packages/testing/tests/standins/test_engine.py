import json
import random
import unittest

import httpx
import trio
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import engine
from wagtailtide_testing.standins import tokens

MODEL = 'letters@v1'
BODY = {
    'model': MODEL,
    'messages': [{'role': 'user', 'content': 'Where are my tiles?'}],
    'max_tokens': 20,
    'stream': True,
}
PROMPT = tokens.prompt_text(BODY)


def make_engine(**settings):
    standin = engine.Engine(
        engine.EngineSettings(**settings), rng=random.Random(1)
    )
    standin.place_model(MODEL, 10)
    return standin


async def read_events(client, **fields):
    """Return the events of a stream and whether it was complete."""
    events, is_complete = [], False
    try:
        async with client.stream(
            'POST',
            '/v1/chat/completions',
            json={**BODY, **fields},
            headers={'x-request-id': 'r1'},
        ) as response:
            async for line in response.aiter_lines():
                if line == 'data: [DONE]':
                    is_complete = True
                elif line.startswith('data: '):
                    events.append(json.loads(line[6:]))
    except httpx.TransportError:
        is_complete = False
    return events, is_complete


def text_of(events):
    return ''.join(
        event['choices'][0]['delta'].get('content', '') for event in events
    )


def make_order(order_id, fence, **fields):
    return {
        'order_id': order_id,
        'fence': fence,
        'kind': 'load',
        'model': 'quotes',
        'version': 'v1',
        'bytes': 50,
        **fields,
    }


class EngineTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_another_engine_continues_a_cut_stream_exactly(self):
        first, second = make_engine(), make_engine()
        first.set_faults(cut_streams=1, cut_after_tokens=7)
        async with (
            serving.serve(engine.make_app(first)) as url,
            serving.serve(engine.make_app(second)) as other_url,
            httpx.AsyncClient(base_url=url) as client,
            httpx.AsyncClient(base_url=other_url) as other,
        ):
            before, cut_is_complete = await read_events(client)
            after, is_complete = await read_events(
                other, resume_offset=len(before)
            )
        self.assertFalse(cut_is_complete)
        self.assertTrue(is_complete)
        self.assertEqual(len(before), 7)
        self.assertEqual(after[0]['offset'], 7)
        self.assertEqual(
            text_of(before + after),
            tokens.expected_text(MODEL, None, PROMPT, 20),
        )

    @virtual_time.run_in_virtual_time
    async def test_a_silent_stream_stops_while_a_new_one_works(self):
        standin = make_engine(token_s=1)
        async with (
            serving.serve(engine.make_app(standin)) as url,
            httpx.AsyncClient(base_url=url, timeout=5) as client,
            trio.open_nursery() as nursery,
        ):
            silenced = []

            async def read_until_silent():
                silenced.append(await read_events(client))

            nursery.start_soon(read_until_silent)
            await trio.sleep(4)
            standin.set_faults(silent=True)
            _, is_complete = await read_events(client)
        self.assertTrue(is_complete)
        self.assertFalse(silenced[0][1])
        self.assertEqual(standin.batch.running, 0)

    @virtual_time.run_in_virtual_time
    async def test_waiting_streams_get_comments_and_run_by_priority(self):
        standin = make_engine(slots=1, token_s=0.5)
        finished = []
        async with (
            serving.serve(engine.make_app(standin)) as url,
            httpx.AsyncClient(base_url=url, timeout=1.8) as client,
            trio.open_nursery() as nursery,
        ):

            async def run(priority):
                _, is_complete = await read_events(client, priority=priority)
                finished.append((priority, is_complete))

            for priority in ('standard', 'batch', 'interactive'):
                nursery.start_soon(run, priority)
                await trio.sleep(0.5)
        self.assertEqual(
            finished,
            [('standard', True), ('interactive', True), ('batch', True)],
        )

    @virtual_time.run_in_virtual_time
    async def test_an_order_with_an_old_fence_is_refused_if_checked(self):
        for checks_fences, status in ((True, 409), (False, 202)):
            standin = make_engine(checks_fences=checks_fences)
            async with (
                serving.serve(engine.make_app(standin)) as url,
                httpx.AsyncClient(base_url=url) as client,
            ):
                await client.post('/v1/orders', json=make_order('a', 5))
                stale = await client.post(
                    '/v1/orders', json=make_order('b', 4, model='stock')
                )
            self.assertEqual(stale.status_code, status)
            self.assertEqual(
                'stock@v1' in standin.accelerator.models, not checks_fences
            )

    @virtual_time.run_in_virtual_time
    async def test_overcommitted_memory_is_refused_or_recorded(self):
        for refuses_overcommit, status in ((True, 507), (False, 202)):
            standin = make_engine(
                memory_bytes=100, refuses_overcommit=refuses_overcommit
            )
            async with (
                serving.serve(engine.make_app(standin)) as url,
                httpx.AsyncClient(base_url=url) as client,
            ):
                await client.post('/v1/orders', json=make_order('a', 1))
                # The memory of the first load, which has not finished, counts.
                second = await client.post(
                    '/v1/orders', json=make_order('b', 1, model='stock')
                )
            self.assertEqual(second.status_code, status)
            counts = standin.as_record()['counts']
            self.assertEqual(
                counts['overcommitted'], int(not refuses_overcommit)
            )

    @virtual_time.run_in_virtual_time
    async def test_the_report_lags_and_a_higher_seq_shows_the_order(self):
        standin = make_engine(report_lag_s=2)
        async with (
            serving.serve(engine.make_app(standin)) as url,
            httpx.AsyncClient(base_url=url) as client,
        ):
            await client.get('/healthz')
            await trio.sleep(10)
            order = make_order('a', 1)
            response = (await client.post('/v1/orders', json=order)).json()
            early = (await client.get('/v1/report')).json()
            await trio.sleep(3)
            late = (await client.get('/v1/report')).json()
        self.assertLessEqual(early['seq'], response['seq'])
        self.assertEqual(early['orders'], [])
        self.assertGreaterEqual(early['as_of_age_ms'], 2000)
        self.assertGreater(late['seq'], response['seq'])
        self.assertEqual(late['orders'], [{'order_id': 'a', 'state': 'done'}])

    @virtual_time.run_in_virtual_time
    async def test_a_crash_ends_all_streams_and_loses_the_models(self):
        standin = make_engine(token_s=1)
        standin.set_faults(crash_on='poison')
        boot_id, results = standin.boot_id, []
        async with (
            serving.serve(engine.make_app(standin)) as url,
            httpx.AsyncClient(base_url=url, timeout=60) as client,
        ):
            async with trio.open_nursery() as nursery:

                async def run(**fields):
                    results.append(await read_events(client, **fields))

                nursery.start_soon(run)
                await trio.sleep(3)
                await run(messages=[{'role': 'user', 'content': 'poison'}])
            refused = await client.post('/v1/completions', json=BODY)
        self.assertEqual(
            [is_complete for _, is_complete in results], [False, False]
        )
        self.assertNotEqual(standin.boot_id, boot_id)
        self.assertEqual(refused.json()['error']['fate'], 'not_run')
