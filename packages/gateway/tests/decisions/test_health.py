import unittest

from wagtailtide_gateway.decisions import health


class HealthTest(unittest.TestCase):
    def test_failure_rate_follows_requests_and_decays(self):
        # Guards against further use of a server that passes its health check
        # but fails its requests, and against never using it again.
        found = health.Health()
        for _ in range(10):
            found.record_outcome('s1', True, 0.0)
        self.assertGreater(found.failure_rate('s1', 0.0), 0.7)
        self.assertLess(found.failure_rate('s1', 12.0), 0.2)

    def test_removed_servers_are_forgotten(self):
        found = health.Health()
        found.record_outcome('s1', True, 0.0)
        found.retain({'s2'})
        self.assertEqual(found.failure_rate('s1', 0.0), 0.0)
