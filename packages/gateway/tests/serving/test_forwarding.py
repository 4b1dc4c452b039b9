import types
import unittest

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import reachability
from wagtailtide_gateway.serving import forward_messages
from wagtailtide_gateway.serving import forwarding
from wagtailtide_testing import virtual_time

from tests import builders
from tests.serving import test_forward_messages

REQUEST = test_forward_messages.REQUEST
START_MS = REQUEST.process_start_ms


class FakeView:
    """Two servers, of which requests are for the first."""

    def __init__(self):
        self.reachability = reachability.Reachability()
        self.states = {
            name: server_state.ServerState(
                builders.make_server(
                    name,
                    residency=builders.make_residency(
                        process_start_ms=START_MS
                    ),
                )
            )
            for name in ('s1', 's2')
        }

    @property
    def is_cut_off(self):
        return self.reachability.is_cut_off(self.states)


class FakeResponder:
    """Keeps the response."""

    status = None

    async def respond(self, status, headers, body):
        self.status, self.headers, self.body = status, dict(headers), body


def restart(view):
    server = builders.make_server('s1', residency=builders.make_residency())
    view.states['s1'] = server_state.ServerState(server)


def evacuate(view):
    zones = evacuations.EvacuationView(5.0)
    zone = view.states['s1'].server.zone
    zones.apply_list([ports.StoredObject(zone, 2, {})], 2, 0.0)
    view.states['s1'].evacuations = zones


def forget_zones(view):
    view.states['s1'].evacuations = evacuations.EvacuationView(5.0)


def cut_off(view):
    for server_id in view.states:
        view.reachability.record_failed(server_id, 0.0)


class RefusalTest(unittest.TestCase):
    async def refusal(self, prepare, is_stopping=False):
        view, out = FakeView(), FakeResponder()
        prepare(view)
        service = forwarding.ForwardingService(
            None,
            None,
            types.SimpleNamespace(servers=view),
            None,
            None,
            None,
            lambda: is_stopping,
        )
        request = types.SimpleNamespace(
            body=forward_messages.encode_request(REQUEST)
        )
        await service.handle(request, out)
        self.assertEqual(out.status, 503)
        self.assertEqual(service.open_count, 0)
        return out.headers[forward_messages.REFUSAL_HEADER].decode()

    @virtual_time.run_without_io
    async def test_requests_that_cannot_be_sent_are_refused_at_once(self):
        now = anyio.current_time()
        rows = {
            'unknown server': lambda view: view.states.pop('s1'),
            'restarted server': restart,
            'leaving server': lambda view: view.states['s1'].note_leaving('r'),
            'pausing server': lambda view: view.states['s1'].note_pause(
                5.0, 'r', now, now
            ),
            'cut off': cut_off,
            'unknown zones': forget_zones,
        }
        for name, prepare in rows.items():
            with self.subTest(name):
                self.assertEqual(await self.refusal(prepare), 'not-sent')
        with self.subTest('stopping'):
            refusal = await self.refusal(lambda view: None, is_stopping=True)
            self.assertEqual(refusal, 'not-sent')

    @virtual_time.run_without_io
    async def test_server_that_the_peer_does_not_reach_is_not_tried(self):
        refusal = await self.refusal(
            lambda view: view.reachability.record_failed('s1', 0.0)
        )
        self.assertEqual(refusal, 'unreachable')

    @virtual_time.run_without_io
    async def test_request_for_an_evacuated_zone_does_not_cost_the_peer(self):
        # Guards against senders that do without this instance, also for the
        # other zones, because it learned of the evacuation before them.
        self.assertEqual(await self.refusal(evacuate), 'unreachable')
