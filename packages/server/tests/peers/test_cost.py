import unittest

from wagtailtide_core.gossip import table
from wagtailtide_server.peers import cost

MAX_BYTES_PER_S = 18_000


class CostTest(unittest.TestCase):
    """Guards against a control cost that grows with the fleet."""

    def test_an_instance_sends_less_than_its_allowance(self):
        heartbeats = []
        for members in (12, 48):
            found = cost.measure(members, members * 2, 4.0)
            total = (
                found.heartbeat_bytes_per_s + found.worst_record_bytes_per_s
            )
            self.assertLess(total, MAX_BYTES_PER_S)
            heartbeats.append(found.heartbeat_bytes_per_s)
        self.assertLess(heartbeats[1], heartbeats[0] * 1.2)
        # The allowance of records with its burst, and the frames around.
        burst = 1 + table.BURST_S / 4.0
        self.assertLess(
            found.worst_record_bytes_per_s,
            table.TOTAL_BYTES_PER_S * burst * 1.1,
        )
