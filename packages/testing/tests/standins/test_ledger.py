import unittest

import httpx
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import ledger


class LedgerTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_post_without_an_answer_may_have_been_applied(self):
        state = ledger.Ledger()
        async with (
            serving.serve(ledger.make_app(state)) as url,
            httpx.AsyncClient(base_url=url) as client,
        ):
            post = {'content': b'{"tiles": 7}'}
            for fault in ('crash_after_apply', 'cut_answers'):
                state.set_faults(**{fault: 1})
                with self.assertRaises(httpx.TransportError):
                    await client.post('/issues', **post)
            state.set_faults(draining=True)
            refused = await client.post(
                '/issues', headers={'x-request-id': 'r1'}, **post
            )
        self.assertEqual(len(state.applied), 2)
        self.assertEqual(refused.json()['error']['fate'], 'not_run')
        self.assertEqual(refused.headers['x-request-id'], 'r1')
