import itertools
import unittest

from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import retry_schedule


def make_pool(**changes):
    fields = {
        'slots': 24.0,
        'load': 0.0,
        'waiting_ahead': 0,
        'instances': 12,
        'service_s': 1.5,
    }
    return admission.ServerPool(**fields | changes)


class DecideTest(unittest.TestCase):
    def test_request_is_sent_while_a_server_has_capacity(self):
        found = admission.decide(make_pool(load=3.0), True, 10.0)
        self.assertIs(found.verdict, admission.Verdict.SEND)

    def test_burst_waits_within_its_deadline(self):
        # A second brings about three times as many requests as slots.
        pool = make_pool(load=40.0)
        found = admission.decide(pool, False, 10.0)
        self.assertIs(found.verdict, admission.Verdict.WAIT)
        self.assertAlmostEqual(found.wait_s, 1.0)

    def test_request_that_cannot_start_in_time_is_refused(self):
        pool = make_pool(load=80.0)
        found = admission.decide(pool, False, 2.0)
        self.assertIs(found.verdict, admission.Verdict.REFUSE)
        self.assertAlmostEqual(found.retry_after_s, found.wait_s)

    def test_request_without_time_left_is_refused(self):
        # Guards against requests that check again at once, without end,
        # because no wait is predicted.
        pool = make_pool(load=0.0)
        for time_left_s in (0.0, -1.0):
            found = admission.decide(pool, False, time_left_s)
            self.assertIs(found.verdict, admission.Verdict.REFUSE)

    def test_request_is_refused_if_model_load_exceeds_deadline(self):
        # Guards against requests that wait until after their caller has left.
        pool = make_pool(slots=0.0, ready_in_s=6.0)
        found = admission.decide(pool, False, 2.0)
        self.assertIs(found.verdict, admission.Verdict.REFUSE)

    def test_urgent_requests_get_a_higher_load_limit(self):
        self.assertGreater(
            admission.load_limit(0, 24, 0.4, 1.5),
            admission.load_limit(1, 24, 0.4, 1.5),
        )

    def test_queue_in_a_server_fits_the_latency_target(self):
        # For ten seconds a model gets more requests than its copies can run. A
        # queue of half the slots would delay each first token by 1.2 s.
        service_s = 2.5
        queued = admission.load_limit(0, 64, 0.4, service_s) - 64
        wait_s = queued / (64 / service_s)
        self.assertGreater(wait_s, 0.0)
        self.assertLess(wait_s, 0.4 / 2)

    def test_zero_service_time_has_a_load_limit(self):
        # Guards against a division by zero that failed every request.
        self.assertEqual(36.0, admission.load_limit(0, 24, 0.4, 0.0))


class RetryScheduleTest(unittest.TestCase):
    def test_retries_for_a_loading_model_are_spread(self):
        # A model loads for three seconds while six callers a second are
        # refused. With the same Retry-After for all of them, they would return
        # at once.
        schedule = retry_schedule.RetrySchedule()
        times = [
            now / 6 + schedule.assign('m', 3.0, 4.0, now / 6)
            for now in range(18)
        ]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        self.assertGreaterEqual(times[0], 3.0)
        self.assertGreaterEqual(min(gaps), 0.2499)

    def test_retry_after_is_capped(self):
        schedule = retry_schedule.RetrySchedule()
        delays = [schedule.assign('m', 1.0, 0.5, 0.0) for _ in range(50)]
        self.assertLessEqual(max(delays), retry_schedule.MAX_RETRY_AFTER_S)

    def test_past_retry_times_do_not_delay_later_callers(self):
        schedule = retry_schedule.RetrySchedule()
        for _ in range(10):
            schedule.assign('m', 1.0, 2.0, 0.0)
        self.assertEqual(schedule.assign('m', 60.5, 2.0, 60.0), 0.5)


class LimitedServersTest(unittest.TestCase):
    def make_pool(self, **changes):
        fields = {
            'slots': 0.0,
            'load': 0.0,
            'waiting_ahead': 0,
            'instances': 12,
            'service_s': 1.5,
            'limited_per_s': 2.0,
        }
        return admission.ServerPool(**fields | changes)

    def test_wait_for_a_permit_counts_all_that_wait(self):
        pool = self.make_pool(waiting_ahead=1, limited_waiting=4)
        self.assertAlmostEqual(admission.predict_wait_s(pool), 6 / 2.0)

    def test_request_that_would_wait_too_long_is_refused_at_once(self):
        pool = self.make_pool(limited_waiting=40)
        decision = admission.decide(pool, False, 2.0)
        self.assertIs(decision.verdict, admission.Verdict.REFUSE)
        self.assertGreater(decision.retry_after_s, 1.0)

    def test_request_waits_for_another_server_that_is_ready_sooner(self):
        pool = self.make_pool(limited_waiting=40)
        soon = admission.with_other_server(pool, 0.08)
        decision = admission.decide(soon, False, 2.0)
        self.assertIs(decision.verdict, admission.Verdict.WAIT)
        self.assertIs(admission.with_other_server(pool, 60.0), pool)
