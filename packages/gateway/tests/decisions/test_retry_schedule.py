import unittest

from wagtailtide_gateway.decisions import retry_schedule


class RetryScheduleTest(unittest.TestCase):
    def test_prediction_is_what_is_assigned_and_assigns_nothing(self):
        # Guards against an explanation that delays the retries of callers.
        schedule = retry_schedule.RetrySchedule()
        for now in (0.0, 0.1, 5.0, 5.0, 5.0):
            args = ('m1', now + 0.5, 4.0, now)
            first, second = (schedule.predict(*args) for _ in range(2))
            self.assertEqual(first, second)
            self.assertEqual(schedule.assign(*args), first)
