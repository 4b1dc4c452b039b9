import itertools
import unittest

from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import returns


def make_pool(**changes):
    fields = {
        'slots': 24.0,
        'load': 0.0,
        'waiting_ahead': 0,
        'instances': 12,
        'service_s': 1.5,
    }
    return admission.Pool(**fields | changes)


class DecideTest(unittest.TestCase):
    def test_request_is_sent_while_there_is_room(self):
        found = admission.decide(make_pool(load=3.0), True, 10.0)
        self.assertIs(found.verdict, admission.Verdict.SEND)

    def test_burst_waits_as_long_as_its_callers_do(self):
        # The load pattern: three times the slots come in a second.
        pool = make_pool(load=40.0)
        found = admission.decide(pool, False, 10.0)
        self.assertIs(found.verdict, admission.Verdict.HOLD)
        self.assertAlmostEqual(found.wait_s, 1.0)

    def test_request_that_cannot_begin_in_time_is_refused_at_once(self):
        pool = make_pool(load=80.0)
        found = admission.decide(pool, False, 2.0)
        self.assertIs(found.verdict, admission.Verdict.REFUSE)
        self.assertAlmostEqual(found.retry_after_s, found.wait_s)

    def test_load_of_a_model_longer_than_callers_wait_is_refused(self):
        # Guards against streams held past the time at which callers leave.
        pool = make_pool(slots=0.0, ready_in_s=6.0)
        found = admission.decide(pool, False, 2.0)
        self.assertIs(found.verdict, admission.Verdict.REFUSE)

    def test_urgent_requests_may_fill_a_server_further(self):
        self.assertGreater(
            admission.fill_limit(0, 24, 0.4, 1.5),
            admission.fill_limit(1, 24, 0.4, 1.5),
        )

    def test_queue_in_a_server_leaves_a_request_in_its_target(self):
        # The load pattern: a model's copies are asked for more than they can
        # run, for ten seconds. A queue of half the slots, as it once was,
        # keeps every request for 1.2 s before its first token.
        service_s = 2.5
        queued = admission.fill_limit(0, 64, 0.4, service_s) - 64
        wait_s = queued / (64 / service_s)
        self.assertGreater(wait_s, 0.0)
        self.assertLess(wait_s, 0.4 / 2)

    def test_service_that_takes_no_measurable_time_has_a_fill_limit(self):
        # Guards against a division by zero that failed every request.
        self.assertEqual(36.0, admission.fill_limit(0, 24, 0.4, 0.0))


class ReturnScheduleTest(unittest.TestCase):
    def test_callers_of_a_loading_model_return_one_after_the_other(self):
        # The load pattern: a model loads for three seconds while six callers
        # a second are refused. Told the same time, all would come at once.
        schedule = returns.ReturnSchedule()
        times = [
            now / 6 + schedule.assign('m', 3.0, 4.0, now / 6)
            for now in range(18)
        ]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        self.assertGreaterEqual(times[0], 3.0)
        self.assertGreaterEqual(min(gaps), 0.2499)

    def test_turns_are_not_handed_out_beyond_what_callers_keep(self):
        schedule = returns.ReturnSchedule()
        turns = [schedule.assign('m', 1.0, 0.5, 0.0) for _ in range(50)]
        self.assertLessEqual(max(turns), returns.LONGEST_S)

    def test_old_turns_do_not_delay_later_callers(self):
        schedule = returns.ReturnSchedule()
        for _ in range(10):
            schedule.assign('m', 1.0, 2.0, 0.0)
        self.assertEqual(schedule.assign('m', 60.5, 2.0, 60.0), 0.5)
