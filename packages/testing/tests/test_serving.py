import unittest

import httpx
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import ledger


class ServingTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_an_app_can_be_stopped_and_started_on_its_port(self):
        app = ledger.make_app(ledger.Ledger())
        async with (
            serving.serve_restartable(app) as served,
            httpx.AsyncClient(base_url=served.url) as client,
        ):
            await client.get('/healthz')
            await served.stop()
            with self.assertRaises(httpx.TransportError):
                await client.get('/healthz')
            with self.assertRaises(httpx.ConnectError):
                await client.get('/healthz')
            await served.start()
            self.assertEqual((await client.get('/healthz')).status_code, 200)
