import unittest

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.invariants import checks
from wagtailtide_core.routing import choose
from wagtailtide_server.upstream import calls
from wagtailtide_server.upstream import client
from wagtailtide_server.upstream import plain
from wagtailtide_server.upstream import streams
from wagtailtide_testing import virtual_time

from tests import harness

SECRET = b'wt_clerk_secret'


def make_call(**fields):
    route = choose.RouteRequest(
        group='ledger', zone='gulberg', near_zones=frozenset({'gulberg'})
    )
    fields = {'secrets': (SECRET,), **fields}
    return calls.Call(route, 'fingerprint', calls.AttemptHistory(), **fields)


def make_plain_call(call, idempotent=False):
    return plain.PlainCall(call, 'POST', b'/issue/x', [], b'{}', idempotent)


class InvariantsTest(unittest.TestCase):
    """Guards against an attempt that is sent although an invariant fails."""

    async def check_prevents_send(
        self, deployment, name, call, target=b'/issue/x'
    ):
        dispatcher = deployment.inst.dispatcher
        attempt = client.Attempt(
            deployment.addresses['ledger'], 'POST', target, request_id='r'
        )
        with self.assertRaisesRegex(checks.InvariantError, name):
            async with dispatcher.open('ledger', call, attempt):
                pass
        violated = deployment.inst.invariants.violated
        self.assertEqual(violated.pop(name), 1)
        self.assertEqual(list(deployment.ledger.recorder.requests), [])

    @virtual_time.run_in_virtual_time
    async def test_each_violation_prevents_the_send_and_is_counted(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running():
            await self.check_prevents_send(
                deployment, 'key_stays_here', make_call(), b'/x?k=' + SECRET
            )
            await self.check_prevents_send(
                deployment,
                'withdrawn_key_sends_nothing',
                make_call(key_is_current=lambda: False),
            )
            deployment.inst.dispatcher.set_draining('ledger', True)
            await self.check_prevents_send(
                deployment, 'leaving_server_gets_no_new_work', make_call()
            )

    @virtual_time.run_in_virtual_time
    async def test_a_call_that_may_have_run_is_not_sent_again(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running():
            inst = deployment.inst
            call = make_call()
            call.history.ended_may_have_run = True
            request = plain.PlainCallRunner(
                inst.dispatcher, make_plain_call(call), inst.metrics
            )
            with self.assertRaises(BaseExceptionGroup):
                await request.run()
            name = 'non_idempotent_at_most_once'
            self.assertEqual(inst.invariants.violated.pop(name), 1)
        self.assertEqual(list(deployment.ledger.recorder.requests), [])

    @virtual_time.run_in_virtual_time
    async def test_a_truncated_or_foreign_response_is_rejected(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running():
            dispatcher = deployment.inst.dispatcher
            attempt = client.Attempt(
                deployment.addresses['ledger'],
                'GET',
                b'/claims/c1',
                headers=[(b'x-request-id', b'r1')],
                request_id='r1',
            )
            async with dispatcher.open(
                'ledger', make_call(), attempt
            ) as response:
                body = await response.read_body()
                dispatcher.check_response(attempt, response, len(body))
                foreign = client.Attempt('', 'GET', b'/', request_id='r2')
                for args in (
                    (attempt, response, len(body) - 1),
                    (foreign, response, len(body)),
                ):
                    with self.assertRaises(checks.InvariantError):
                        dispatcher.check_response(*args)
            violated = deployment.inst.invariants.violated
            self.assertEqual(violated.pop('answer_is_own_and_whole'), 2)


class WithdrawnKeyTest(unittest.TestCase):
    """Guards against an attempt that starts after its key was withdrawn."""

    @virtual_time.run_in_virtual_time
    async def test_no_attempt_starts(self):
        deployment = harness.Deployment(engines=1)
        async with deployment.running():
            inst = deployment.inst
            call = make_call(key_is_current=lambda: False)
            for idempotent in (False, True):
                request = plain.PlainCallRunner(
                    inst.dispatcher,
                    make_plain_call(call, idempotent),
                    inst.metrics,
                )
                await self.check_refused(request)
            model_call = streams.ModelCall(
                calls.Call(
                    choose.RouteRequest(
                        model=('letters', '1'),
                        zone='gulberg',
                        near_zones=frozenset({'gulberg'}),
                    ),
                    'fingerprint',
                    calls.AttemptHistory(),
                    key_is_current=lambda: False,
                ),
                b'/v1/completions',
                [],
                {},
            )
            await self.check_refused(
                streams.ModelStream(
                    inst.dispatcher, model_call, anyio.sleep, inst.metrics
                )
            )
            self.assertEqual(
                [
                    req['path']
                    for req in deployment.seen_by_backend_servers()
                    if req['method'] == 'POST'
                ],
                [],
            )

    async def check_refused(self, request):
        with self.assertRaises(kinds.ServingError) as caught:
            await request.run()
        self.assertIs(caught.exception.kind, kinds.ErrorKind.KEY_WITHDRAWN)
        self.assertIs(caught.exception.fate, kinds.Fate.NOT_RUN)
