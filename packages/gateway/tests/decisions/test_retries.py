import unittest

from wagtailtide_gateway.decisions import retries


class RetryBudgetTest(unittest.TestCase):
    def test_retries_of_a_failing_service_are_limited(self):
        # Every request fails and asks for a retry.
        budget = retries.RetryBudget(0.2, 100.0, 10.0)
        allowed = 0
        for tick in range(1_000):
            now = tick * 0.01
            budget.record_request('ledger', now)
            allowed += budget.try_spend('ledger', 12, now)
        self.assertLessEqual(allowed, 0.2 * 1_000 + 100 / 12)
        self.assertGreater(allowed, 100)

    def test_old_retries_leave_the_window(self):
        budget = retries.RetryBudget(0.0, 2.0, 10.0)
        self.assertTrue(budget.try_spend('ledger', 1, 0.0))
        self.assertFalse(budget.try_spend('ledger', 1, 5.0))
        self.assertTrue(budget.try_spend('ledger', 1, 10.1))

    def test_each_service_has_its_own_budget(self):
        budget = retries.RetryBudget(0.0, 2.0, 10.0)
        self.assertTrue(budget.try_spend('ledger', 1, 0.0))
        self.assertTrue(budget.try_spend('engines', 1, 0.0))
