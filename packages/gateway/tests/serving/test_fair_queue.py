import math
import random
import unittest

from wagtailtide_gateway.decisions import scheduling
from wagtailtide_gateway.serving import fair_queue
from wagtailtide_testing import virtual_time

from tests import builders


def make_ticket(priority=1, organisation='club', **changes):
    fields = {
        'priority': priority,
        'organisation': organisation,
        'needs': (),
        'late_at': math.inf,
    }
    return fair_queue.Ticket(**fields | changes)


class Queues:
    """FairQueues of one service and model."""

    def __init__(self, usage=None):
        self.usage = usage or {}
        self.queues = fair_queue.FairQueues(lambda n: self.usage.get(n, 0.0))

    def add(self, *args, **changes):
        ticket = make_ticket(*args, **changes)
        return self.queues.add_ticket('engines', 'm1', ticket), ticket

    def may_take(self, waiter, ticket):
        return self.queues.may_take('engines', 'm1', ticket, waiter)


class OrderTest(unittest.TestCase):
    def assert_order(self, found, rows):
        """Assert that the rows are served in their order, added in another."""
        added = {i: found.add(**rows[i]) for i in reversed(range(len(rows)))}
        for number in range(len(rows)):
            for other in range(number, len(rows)):
                self.assertIs(
                    found.may_take(*added[other]), other == number, (number,)
                )
            found.queues.remove('engines', added[number][0])

    @virtual_time.run_without_io
    async def test_order(self):
        found = Queues({'heavy': 8.0, 'light': 0.5})
        self.assert_order(
            found,
            [
                {'priority': 0, 'organisation': 'heavy'},
                {'organisation': 'light'},
                {'organisation': 'light', 'late_at': -1.0},
                {'organisation': 'heavy'},
                {'priority': 2, 'organisation': 'light'},
            ],
        )

    @virtual_time.run_without_io
    async def test_equal_requests_are_served_in_order_of_arrival(self):
        found = Queues()
        added = [found.add() for _ in range(5)]
        for waiter, ticket in added:
            self.assertTrue(found.may_take(waiter, ticket))
            found.queues.remove('engines', waiter)

    @virtual_time.run_without_io
    async def test_new_request_does_not_overtake(self):
        # Guards against a request that takes the slot for which another of the
        # same organisation waits.
        found = Queues({'heavy': 8.0})
        found.add()
        self.assertFalse(found.may_take(None, make_ticket()))
        self.assertFalse(found.may_take(None, make_ticket(1, 'heavy')))
        self.assertTrue(found.may_take(None, make_ticket(0, 'heavy')))


class WakeTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_only_the_first_of_hundreds_is_woken(self):
        # Guards against all waiting requests comparing all servers whenever a
        # request ends: it took most of a small machine's processor.
        found = Queues()
        waiters = [found.add()[0] for _ in range(300)]
        found.queues.wake('engines')
        woken = [w for w in waiters if w.wake_event.is_set()]
        self.assertEqual(woken, waiters[:1])
        found.queues.remove('engines', waiters[0])
        self.assertTrue(waiters[1].wake_event.is_set())
        self.assertFalse(waiters[2].wake_event.is_set())

    @virtual_time.run_without_io
    async def test_request_that_no_free_server_can_run_blocks_no_other(self):
        # Guards against a request for an adapter that loads holding up the
        # others for its model.
        found = Queues()
        first, _ = found.add(needs=('a1',))
        same, same_ticket = found.add(needs=('a1',))
        other, ticket = found.add(needs=('a2',))
        self.assertFalse(found.may_take(other, ticket))
        found.queues.record_failure('engines', first)
        self.assertTrue(other.wake_event.is_set())
        self.assertTrue(found.may_take(other, ticket))
        self.assertFalse(same.wake_event.is_set())
        found.queues.wake()
        self.assertFalse(found.may_take(same, same_ticket))


class ShareTest(unittest.TestCase):
    """Organisations that always have requests waiting, for one slot."""

    def serve(self, weights, until, active_from, seed=3):
        """Return the starts as pairs of time and organisation."""
        rng = random.Random(seed)
        sums = scheduling.DecayingSums(scheduling.USAGE_PERIOD_S)
        now, starts = 0.0, []
        while now < until:
            active = [n for n in weights if now >= active_from.get(n, 0.0)]
            name = min(active, key=lambda n: sums.value(n, now) / weights[n])
            work_s = rng.uniform(0.01, 0.09)
            sums.add(name, work_s, now)
            starts.append((now, name, work_s))
            now += work_s
        return starts

    def test_work_follows_the_weights(self):
        weights = {'a': 1.0, 'b': 2.0, 'c': 4.0}
        starts = self.serve(weights, 60.0, {})
        total = sum(work_s for _, _, work_s in starts)
        for name, weight in weights.items():
            work_s = sum(w for _, other, w in starts if other == name)
            # A request is at most 0.09 s of work, a sum of usage at most
            # USAGE_PERIOD_S.
            bound = (scheduling.USAGE_PERIOD_S + 0.09) / total
            self.assertAlmostEqual(work_s / total, weight / 7.0, delta=bound)

    def test_organisation_that_was_idle_gets_bounded_credit(self):
        # Guards against one that was idle for a minute keeping the others
        # waiting for as long.
        starts = self.serve({'a': 1.0, 'b': 1.0}, 64.0, {'b': 60.0})
        waited_s = min(
            now for now, name, _ in starts if name == 'a' and now >= 60.1
        )
        # One request of each may be in the slot when its turn is over.
        bound_s = scheduling.USAGE_PERIOD_S * math.log(2) + 2 * 0.09
        self.assertLessEqual(waited_s - 60.0, bound_s)

    def test_idle_shares_are_used_and_returned_at_once(self):
        starts = self.serve({'a': 1.0, 'b': 1.0}, 64.0, {'b': 60.0})
        self.assertEqual({n for now, n, _ in starts if now < 60.0}, {'a'})
        self.assertEqual(next(n for now, n, _ in starts if now >= 60.0), 'b')


class WeightTest(unittest.TestCase):
    def test_weight_is_the_rate_relative_to_the_mean_of_its_unit(self):
        # Guards against starving organisations without a rate, or with a rate
        # in requests, beside those whose rate counts tokens.
        organisations = [
            builders.make_organisation(3_000.0, name='a'),
            builders.make_organisation(1_000.0, name='b'),
            builders.make_organisation(5.0, name='c', counts_tokens=False),
            builders.make_organisation(0.0, name='d'),
        ]
        weights = scheduling.relative_weights(organisations)
        self.assertEqual(weights, {'a': 1.5, 'b': 0.5, 'c': 1.0})
