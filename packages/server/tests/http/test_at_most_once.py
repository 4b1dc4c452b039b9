import contextlib
import socket
import unittest
from unittest import mock

import anyio
from wagtailtide_testing import virtual_time

from tests import harness


@contextlib.contextmanager
def full_listener():
    """Yield the address of a listener whose backlog is full.

    The kernel drops further connection requests, so a connect neither
    succeeds nor is refused.
    """
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(4):
            conn = stack.enter_context(socket.socket())
            conn.setblocking(False)
            conn.connect_ex(listener.getsockname())
        yield '{}:{}'.format(*listener.getsockname())


async def issue(deployment, caller, key='order-1', **headers):
    if key is not None:
        headers['Idempotency-Key'] = key
    return await caller.post(
        '/issue/blanks',
        content='{"set": 7}',
        headers={**deployment.auth(), **headers},
    )


class DeadlineWhileConnectingTest(unittest.TestCase):
    """Guards against a key that stays claimed by a call that was not sent."""

    @virtual_time.run_in_virtual_time
    async def test_a_key_is_released_and_may_be_used_again(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            reachable = deployment.addresses['ledger']
            with full_listener() as address:
                await self._move_ledger(deployment, address)
                late = await issue(
                    deployment, caller, **{'X-Deadline-Ms': '300'}
                )
            await self._move_ledger(deployment, reachable)
            again = await issue(deployment, caller)
        error = late.json()['error']
        self.assertEqual(
            (error['kind'], error['fate']), ('deadline_unreachable', 'not_run')
        )
        self.assertEqual(again.status_code, 201, again.text)
        self.assertEqual(len(deployment.ledger.applied), 1)

    async def _move_ledger(self, deployment, address):
        deployment.addresses['ledger'] = address
        deployment.publish()
        table = deployment.inst.dispatcher.table
        await deployment.wait_until(
            lambda: table.servers['ledger'].declared.address == address
        )


class UndeclaredServerTest(unittest.TestCase):
    """Guards against a lost outcome when the document drops a server."""

    @virtual_time.run_in_virtual_time
    async def test_a_running_call_on_it_is_answered(self):
        deployment = harness.Deployment(engines=0)
        async with (
            deployment.running() as caller,
            anyio.create_task_group() as group,
        ):
            deployment.ledger.set_faults(delay_s=6.0)
            group.start_soon(self._undeclare, deployment)
            resp = await issue(deployment, caller)
        self.assertEqual(resp.status_code, 201, resp.text)

    async def _undeclare(self, deployment):
        await anyio.sleep(1)
        addresses, deployment.addresses = deployment.addresses, {}
        routes = [
            {**route, 'backend': 'spare'}
            for route in deployment.document()['routes']
        ]
        deployment.addresses = {'spare': addresses['ledger']}
        document = deployment.document(routes=routes)
        document['backend_servers'][0] |= {'kind': 'plain', 'group': 'spare'}
        deployment.publish(
            backend_servers=document['backend_servers'], routes=routes
        )
        table = deployment.inst.dispatcher.table
        await deployment.wait_until(lambda: 'ledger' not in table.servers)


class SendOnceTest(unittest.TestCase):
    """Guards against sending a non-idempotent call twice."""

    @virtual_time.run_in_virtual_time
    async def test_a_slow_call_is_waited_for(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            deployment.ledger.set_faults(delay_s=6.0)
            for key in ('order-1', None):
                resp = await issue(deployment, caller, key)
                self.assertEqual(resp.status_code, 201, resp.text)
        self.assertEqual(len(deployment.ledger.applied), 2)

    @virtual_time.run_in_virtual_time
    async def test_a_claim_that_may_have_run_stops_the_send(self):
        deployment = harness.Deployment(engines=0)
        async with deployment.running() as caller:
            claims = deployment.inst.claims
            add = claims.held_claims.add

            def add_sent(claim):
                held_claim = add(claim)
                held_claim.may_have_run = True
                return held_claim

            with mock.patch.object(claims.held_claims, 'add', add_sent):
                resp = await issue(deployment, caller)
            violated = deployment.inst.invariants.violated
            self.assertEqual(violated.pop('non_idempotent_at_most_once'), 1)
        self.assertEqual(resp.json()['error']['kind'], 'internal')
        self.assertEqual(deployment.ledger.applied, [])
