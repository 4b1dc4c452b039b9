import unittest

from wagtailtide_gateway.decisions import retries


class SharedBudgetTest(unittest.TestCase):
    def test_failing_service_is_not_sent_everything_twice(self):
        # The load pattern: every request fails and wants to be repeated.
        budget = retries.SharedBudget(0.2, 100.0, 10.0)
        repeats = 0
        for tick in range(1_000):
            now = tick * 0.01
            budget.record_request('ledger', now)
            repeats += budget.try_spend('ledger', 12, now)
        self.assertLessEqual(repeats, 0.2 * 1_000 + 100 / 12)
        self.assertGreater(repeats, 100)

    def test_window_forgets(self):
        budget = retries.SharedBudget(0.0, 2.0, 10.0)
        self.assertTrue(budget.try_spend('ledger', 1, 0.0))
        self.assertFalse(budget.try_spend('ledger', 1, 5.0))
        self.assertTrue(budget.try_spend('ledger', 1, 10.1))

    def test_services_have_budgets_of_their_own(self):
        budget = retries.SharedBudget(0.0, 2.0, 10.0)
        self.assertTrue(budget.try_spend('ledger', 1, 0.0))
        self.assertTrue(budget.try_spend('engines', 1, 0.0))
