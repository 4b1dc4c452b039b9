import unittest

import httpx
import trio
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import platform

KEY = '/v1/objects/documents/lahore'
CREATE = {'if-none-match': '*'}


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.state = platform.Platform()
        self.app = platform.make_app(self.state)

    @virtual_time.run_in_virtual_time
    async def test_an_update_of_an_old_version_is_refused(self):
        # If the stand-in accepted such updates, no other test would notice
        # lost updates.
        async with (
            serving.serve(self.app) as url,
            httpx.AsyncClient(base_url=url) as client,
        ):
            await client.put(KEY, content=b'1', headers=CREATE)
            again = await client.put(KEY, content=b'2', headers=CREATE)
            if_match = {'if-match': '1'}
            await client.put(KEY, content=b'3', headers=if_match)
            stale = await client.put(KEY, content=b'4', headers=if_match)
            unconditional = await client.put(KEY, content=b'5')
        self.assertEqual(again.status_code, 412)
        self.assertEqual(stale.status_code, 412)
        self.assertEqual(unconditional.status_code, 428)
        self.assertEqual(self.state.objects.get(KEY[12:]).value, b'3')

    @virtual_time.run_in_virtual_time
    async def test_a_write_with_a_lost_answer_took_effect(self):
        async with (
            serving.serve(self.app) as url,
            httpx.AsyncClient(base_url=url) as client,
        ):
            self.state.set_faults(lose_answers=1)
            with self.assertRaises(httpx.TransportError):
                await client.put(KEY, content=b'1', headers=CREATE)
            self.assertEqual(self.state.objects.get(KEY[12:]).value, b'1')
            self.state.set_faults(lose_requests=1)
            with self.assertRaises(httpx.TransportError):
                await client.put(KEY, content=b'2', headers={'if-match': '1'})
        self.assertEqual(self.state.objects.get(KEY[12:]).value, b'1')

    @virtual_time.run_in_virtual_time
    async def test_a_watch_returns_at_the_change_and_counts_as_one_call(self):
        async with (
            serving.serve(self.app) as url,
            httpx.AsyncClient(base_url=url, timeout=60) as client,
            trio.open_nursery() as nursery,
        ):

            async def write_later():
                await trio.sleep(5)
                await client.put('/v1/objects/other', headers=CREATE)
                await trio.sleep(5)
                await client.put(KEY, content=b'1', headers=CREATE)

            nursery.start_soon(write_later)
            started_at = trio.current_time()
            params = {'prefix': 'documents/', 'since': 0, 'timeout_s': 30}
            seen = await client.get('/v1/watch', params=params)
            waited_s = trio.current_time() - started_at
        self.assertEqual(
            [item['key'] for item in seen.json()['items']],
            ['documents/lahore'],
        )
        self.assertAlmostEqual(waited_s, 10, delta=1)
        self.assertEqual(self.state.calls['watch'], 1)

    @virtual_time.run_in_virtual_time
    async def test_reads_can_be_stale_and_an_outage_ends_a_watch(self):
        async with (
            serving.serve(self.app) as url,
            httpx.AsyncClient(base_url=url, timeout=60) as client,
        ):
            for key in ('a', 'b'):
                self.state.objects.write(key, b'1', None)
            self.state.objects.write('a', None, 1)
            self.state.set_faults(stale_revisions=2)
            listed = (await client.get('/v1/objects?prefix=')).json()
            self.assertEqual(listed['revision'], 1)
            self.assertEqual([i['key'] for i in listed['items']], ['a'])
            self.state.set_faults(stale_revisions=0)
            watched = (await client.get('/v1/watch?since=2')).json()
            deleted = {'key': 'a', 'version': 3, 'deleted': True}
            self.assertEqual(watched['items'], [deleted])
            async with trio.open_nursery() as nursery:

                async def fail_later():
                    await trio.sleep(1)
                    self.state.set_faults(outage='503')

                nursery.start_soon(fail_later)
                failed = await client.get('/v1/watch?since=3&timeout_s=30')
        self.assertEqual(failed.status_code, 503)

    @virtual_time.run_in_virtual_time
    async def test_a_change_of_a_list_is_visible_after_its_lag(self):
        async with (
            serving.serve(self.app) as url,
            httpx.AsyncClient(base_url=url) as client,
        ):
            self.state.set_faults(list_lag_s=10)
            items = [{'name': 'i1', 'address': '127.0.0.1:1', 'zone': 'z'}]
            await client.put('/admin/instances', json={'items': items})
            early = (await client.get('/v1/instances')).json()['items']
            await trio.sleep(11)
            late = (await client.get('/v1/instances')).json()['items']
        self.assertEqual(early, [])
        self.assertEqual(late, [{**items[0], 'state': 'live'}])
