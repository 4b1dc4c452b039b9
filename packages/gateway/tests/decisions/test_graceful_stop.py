import unittest

from wagtailtide_gateway.decisions import graceful_stop


class GracefulStopTest(unittest.TestCase):
    def test_requests_are_sent_as_long_as_they_can_finish(self):
        rows = {
            'just begun': (0.0, 2.0, True),
            'short ones until late': (6.4, 0.1, True),
            'short ones at the end': (6.8, 0.1, False),
            'long ones for a moment': (0.5, 4.0, True),
            'long ones later': (1.0, 4.0, False),
            'longer than the stop': (0.0, 6.0, False),
        }
        for name, (elapsed_s, service_s, expected) in rows.items():
            with self.subTest(name):
                self.assertEqual(
                    graceful_stop.can_finish(elapsed_s, 8.0, service_s),
                    expected,
                )
