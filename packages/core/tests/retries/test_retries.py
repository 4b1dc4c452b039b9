import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.errors import kinds
from wagtailtide_core.retries import breaker
from wagtailtide_core.retries import budget
from wagtailtide_core.retries import fate


class RetriesTest(unittest.TestCase):
    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=2_000))
    def test_retries_stay_within_a_tenth_of_the_successes(self, outcomes):
        # Guards against retries that multiply the load on a failing fleet.
        retry_budget = budget.RetryBudget()
        successes = sum(outcomes)
        retries = 0
        for succeeded in outcomes:
            if succeeded:
                retry_budget.record_success()
            elif retry_budget.try_spend():
                retries += 1
        allowed = budget.RESERVE_RETRIES + 0.1 * successes
        self.assertLessEqual(retries, allowed + 1e-6)

    def test_only_an_unsent_request_is_known_not_to_have_run(self):
        fates = [fate.fate_of_failure(progress) for progress in fate.Progress]
        not_run, unknown = kinds.Fate.NOT_RUN, kinds.Fate.UNKNOWN
        self.assertEqual(fates, [not_run, not_run, unknown, unknown])

    def test_a_breaker_allows_one_trial_after_two_seconds(self):
        state = breaker.Breaker()
        for number in range(5):
            self.assertEqual(state.state(0.1 * number), 'closed')
            state.record_failure(0.1 * number)
        self.assertEqual(state.state(2.3), 'open')
        self.assertEqual(state.state(2.4), 'half_open')
        state.record_attempt(2.4)
        self.assertEqual(state.state(2.5), 'open')
        state.record_failure(2.6)
        self.assertEqual(state.state(4.5), 'open')
        state.record_attempt(4.7)
        state.record_success()
        self.assertEqual(state.state(4.8), 'closed')
