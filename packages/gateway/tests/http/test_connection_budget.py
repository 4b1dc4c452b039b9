import contextlib
import unittest

import anyio
from wagtailtide_gateway.decisions import connections
from wagtailtide_gateway.http import connection_budget
from wagtailtide_testing import virtual_time

from tests import builders

Phase = connections.Phase
SIZE = connections.CONNECTION_BYTES


class FakeStream:
    is_closed = False

    def close(self):
        self.is_closed = True


class ConnectionBudgetTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def make_budget(self, **changes):
        limits = builders.make_connection_limits(**changes)
        return connection_budget.ConnectionBudget(limits)

    def open(self, budget, count=1, phase=Phase.IDLE, **options):
        """Open connections; return their Holdings."""
        options = {'listener': 'callers', 'max_count': 10} | options
        holdings = []
        for _ in range(count):
            holding = self.stack.enter_context(
                budget.open(FakeStream(), **options)
            )
            holding.enter(phase)
            holdings.append(holding)
        return holdings

    def closed(self, holdings):
        return [holding.stream.is_closed for holding in holdings]

    @virtual_time.run_without_io
    async def test_waiting_connections_are_closed_for_a_new_one(self):
        budget = self.make_budget()
        crowd = self.open(budget, 10)
        await anyio.sleep(2.0)
        (new,) = self.open(budget)
        self.assertEqual(sum(self.closed(crowd)), 1)
        self.assertFalse(new.stream.is_closed)

    @virtual_time.run_without_io
    async def test_caller_that_is_served_stays_beside_one_that_is_rejected(
        self,
    ):
        # Guards against a crowd whose requests are all rejected at once, so
        # that each of its connections was just used.
        budget = self.make_budget()
        crowd = self.open(budget, 9)
        (caller,) = self.open(budget)
        await anyio.sleep(2.0)
        caller.was_served = True
        for holding in (caller, *crowd):
            holding.enter(Phase.SERVING)
            holding.enter(Phase.IDLE)
        (new,) = self.open(budget)
        self.assertEqual(sum(self.closed(crowd)), 1)
        self.assertFalse(any(self.closed([caller, new])))

    @virtual_time.run_without_io
    async def test_readiness_is_asked_beside_idle_connections(self):
        # Guards against callers of the readiness address that keep the
        # balancer from connecting, because each was answered once.
        budget = self.make_budget()
        crowd = self.open(budget, 4, listener='readiness', max_count=4)
        for holding in crowd:
            holding.was_served = True
        await anyio.sleep(2.0)
        (check,) = self.open(budget, listener='readiness', max_count=4)
        self.assertFalse(check.stream.is_closed)

    @virtual_time.run_without_io
    async def test_each_listener_has_connections_of_its_own(self):
        # Guards against callers that keep the balancer from asking whether
        # the instance is ready.
        budget = self.make_budget()
        crowd = self.open(budget, 10)
        (check,) = self.open(budget, listener='readiness', max_count=4)
        self.assertFalse(any(self.closed([*crowd, check])))

    @virtual_time.run_without_io
    async def test_memory_of_all_connections_stays_within_the_bound(self):
        budget = self.make_budget(memory_bytes=20 * SIZE)
        served = self.open(budget, 5, Phase.SERVING)
        slow = self.open(budget, 5, Phase.RECEIVING)
        for holding in (*slow, *served):
            holding.hold_request(2 * SIZE)
            self.assertLessEqual(budget.held_bytes, 20 * SIZE)
        self.assertFalse(any(self.closed(served)))
        self.assertTrue(any(self.closed(slow)))

    @virtual_time.run_without_io
    async def test_request_is_refused_if_all_others_are_served(self):
        budget = self.make_budget(memory_bytes=6 * SIZE)
        *served, last = self.open(budget, 5, Phase.SERVING)
        with self.assertRaises(connection_budget.OutOfMemory):
            last.hold_request(2 * SIZE)
        self.assertFalse(any(self.closed([*served, last])))
        self.assertEqual(budget.held_bytes, 5 * SIZE)

    @virtual_time.run_without_io
    async def test_response_that_is_not_read_makes_room(self):
        budget = self.make_budget(memory_bytes=6 * SIZE)
        *served, last = self.open(budget, 5, Phase.SERVING)
        last.enter(Phase.BLOCKED)
        last.hold_response(9 * SIZE)
        self.assertTrue(last.stream.is_closed)
        self.assertFalse(any(self.closed(served)))

    @virtual_time.run_without_io
    async def test_response_to_another_instance_is_written_all_the_same(self):
        # Guards against an instance that ends its answers to others, as
        # unexpected errors, because its callers take the memory.
        budget = self.make_budget(memory_bytes=2 * SIZE)
        (instance,) = self.open(budget, phase=Phase.SERVING, is_instance=True)
        instance.was_served = True
        instance.enter(Phase.BLOCKED)
        instance.hold_response(9 * SIZE)
        self.assertFalse(instance.stream.is_closed)

    @virtual_time.run_without_io
    async def test_all_memory_is_released_at_the_end(self):
        budget = self.make_budget()
        for holding in self.open(budget, 20):
            holding.hold_request(1_000)
            holding.hold_response(500)
        self.stack.close()
        self.assertEqual(budget.held_bytes, 0)
        (new,) = self.open(budget, max_count=1)
        self.assertFalse(new.stream.is_closed)
