import types
import unittest
from unittest import mock

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_gateway.decisions import quota
from wagtailtide_gateway.serving import access
from wagtailtide_testing import virtual_time

from tests import builders


class FakeExchange:
    """Exchange with a leader that answers after a given time, or never.

    Attributes:
        hears_leader: Whether the leader answered the last exchange.
        started: Number of exchanges that were waited for.
        local_quota: The LocalQuota of the instance.
    """

    silent_s = 1.0
    lease_s = 3.0

    def __init__(self, local_quota, answer_s=None, granted=0.0):
        self.refill_waits_s = {}
        self.hears_leader = True
        self.started = 0
        self.local_quota = local_quota
        self._answer_s = answer_s
        self._granted = granted

    async def wait_for_exchange(self, timeout_s):
        """Wait for an exchange; without a leader it fails after 2 ms."""
        self.started += 1
        await anyio.sleep(self._answer_s or 0.002)
        self.hears_leader = self._answer_s is not None
        if self.hears_leader:
            self.local_quota.add_granted('club', self._granted)


def make_access(**exchange_options):
    local_quota = quota.LocalQuota()
    shared_state = types.SimpleNamespace(config=None, local_quota=local_quota)
    exchange = FakeExchange(local_quota, **exchange_options)
    job = types.SimpleNamespace(
        organisation=builders.make_organisation(),
        cost=300.0,
        resumes_stream=False,
        received_at=anyio.current_time(),
    )
    charged = access.Access(builders.make_settings(), shared_state, exchange)
    return charged, exchange, job


class ChargeTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_lost_leader_is_not_reported_as_an_exceeded_rate(self):
        charged, exchange, job = make_access()
        exchange.hears_leader = False
        started_at = anyio.current_time()
        with self.assertRaises(kinds.ServingError) as caught:
            await charged.charge(job)
        self.assertIs(caught.exception.kind, kinds.ErrorKind.RATE_UNCONFIRMED)
        self.assertEqual(caught.exception.fate, kinds.Fate.NOT_RUN)
        # Refused at once, without a further exchange.
        self.assertEqual(
            (anyio.current_time() - started_at, exchange.started), (0.0, 0)
        )

    @virtual_time.run_without_io
    async def test_failing_exchanges_are_not_repeated_for_each_request(self):
        # Guards against requests that start exchange after exchange at a
        # leader that does not answer.
        charged, exchange, job = make_access()
        for _ in range(20):
            with self.assertRaises(kinds.ServingError):
                await charged.charge(job)
        self.assertEqual(exchange.started, 1)

    @virtual_time.run_without_io
    async def test_request_waits_for_a_slow_leader(self):
        charged, exchange, job = make_access(answer_s=0.3, granted=300.0)
        await charged.charge(job)
        self.assertEqual(exchange.started, 1)

    @virtual_time.run_without_io
    async def test_share_covers_a_request_that_a_slow_leader_did_not(self):
        # Guards against refusing what the instance could serve by itself.
        charged, exchange, job = make_access(answer_s=5.0)
        exchange.local_quota.apply_share(1, 1.0, {})
        job.cost = 0.25 * job.organisation.burst
        with mock.patch('random.random', return_value=0.9):
            await charged.charge(job)
        self.assertEqual(anyio.current_time(), access.QUOTA_TIMEOUT_S)

    @virtual_time.run_without_io
    async def test_rate_refused_by_the_leader_is_reported_as_exceeded(self):
        charged, exchange, job = make_access(answer_s=0.01)
        exchange.refill_waits_s = {'club': 0.7}
        with self.assertRaises(kinds.ServingError) as caught:
            await charged.charge(job)
        self.assertIs(caught.exception.kind, kinds.ErrorKind.RATE_EXCEEDED)
        self.assertEqual(caught.exception.retry_after_s, 0.7)

    @virtual_time.run_without_io
    async def test_resumed_stream_waits_for_a_new_leader(self):
        # Guards against refusing the streams that broke off when all
        # instances were killed, most of which come back at once.
        charged, exchange, job = make_access()
        job.resumes_stream = True
        exchange.hears_leader = False

        async def lead():
            await anyio.sleep(1.2)
            exchange.local_quota.add_granted('club', 300.0)

        async with anyio.create_task_group() as tg:
            tg.start_soon(lead)
            await charged.charge(job)
        self.assertLess(anyio.current_time(), access.RESUME_WAIT_S)

    @virtual_time.run_without_io
    async def test_resumed_stream_waits_while_a_new_bucket_fills(self):
        # Guards against refusing them because the buckets of a new leader are
        # empty at first.
        charged, exchange, job = make_access(answer_s=0.01, granted=30.0)
        job.resumes_stream = True
        exchange.refill_waits_s = {'club': 0.7}
        await charged.charge(job)
        self.assertLess(anyio.current_time(), access.RESUME_WAIT_S)

    @virtual_time.run_without_io
    async def test_resumed_stream_is_refused_before_its_caller_leaves(self):
        # Callers leave a stream that sends nothing for two seconds.
        charged, exchange, job = make_access()
        job.resumes_stream = True
        exchange.hears_leader = False
        with self.assertRaises(kinds.ServingError) as caught:
            await charged.charge(job)
        self.assertIs(caught.exception.kind, kinds.ErrorKind.RATE_UNCONFIRMED)
        self.assertLess(anyio.current_time(), 2.0)


class CurrentKeyTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_key_that_was_passed_on_while_a_request_waited(self):
        # Guards against a request that runs for the organisation which held
        # its key before: its name goes to the server.
        charged, _, job = make_access()
        job.req = types.SimpleNamespace(api_key='k1')
        rows = {
            'same organisation': ('club', None),
            'another organisation': (
                'guild',
                kinds.ErrorKind.KEYS_UNCONFIRMED,
            ),
            'none': (None, kinds.ErrorKind.KEY_INVALID),
        }
        for name, (holder, expected) in rows.items():
            keys = {}
            if holder is not None:
                keys['k1'] = builders.make_organisation(name=holder)
            charged._config = types.SimpleNamespace(
                deployment=builders.make_deployment(organisations=keys),
                age_s=0.0,
            )
            with self.subTest(name):
                if expected is None:
                    charged.require_current_key(job)
                    continue
                with self.assertRaises(kinds.ServingError) as caught:
                    charged.require_current_key(job)
                self.assertIs(caught.exception.kind, expected)
                self.assertIs(caught.exception.fate, kinds.Fate.NOT_RUN)
