import unittest

from wagtailtide_core.gossip import table
from wagtailtide_server.peers import traffic_estimate

MAX_BYTES_PER_S = 18_000


class TrafficEstimateTest(unittest.TestCase):
    """Guards against control traffic that grows with the fleet."""

    def test_an_instance_sends_less_than_the_limit(self):
        heartbeats = []
        for members in (12, 48):
            result = traffic_estimate.estimate_traffic(
                members, members * 2, 4.0
            )
            total = (
                result.heartbeat_bytes_per_s + result.worst_record_bytes_per_s
            )
            self.assertLess(total, MAX_BYTES_PER_S)
            heartbeats.append(result.heartbeat_bytes_per_s)
        self.assertLess(heartbeats[1], heartbeats[0] * 1.2)
        # The limit on record bytes with its burst, and 10 % for the frames
        # around the records.
        burst = 1 + table.BURST_S / 4.0
        self.assertLess(
            result.worst_record_bytes_per_s,
            table.TOTAL_BYTES_PER_S * burst * 1.1,
        )
