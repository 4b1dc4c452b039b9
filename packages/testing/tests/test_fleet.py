import random
import socket
import unittest

import anyio
import trio
from wagtailtide_testing import builders
from wagtailtide_testing import fleet as fleets
from wagtailtide_testing import fleet_network


def can_be_taken(address):
    """Return whether another server could bind an address."""
    host, port = address.rsplit(':', 1)
    with socket.socket() as sock:
        try:
            sock.bind((host, int(port)))
        except OSError:
            return False
        return True


class RestartTest(unittest.TestCase):
    def test_addresses_of_a_crashed_node_cannot_be_taken(self):
        # Guards against "Address already in use" when an instance restarts
        # beside other test runs: its ports were free in between.
        org, _ = builders.make_organisation('tiles', ('k1',), random.Random(1))
        taken = []

        async def run():
            fleet = fleets.Fleet(1, (org,), engines=1, ledgers=1)
            async with fleet.running(1):
                (node,) = fleet.nodes.values()
                await anyio.sleep(1)
                fleet.crash(node)
                await node.ended.wait()
                taken.extend(filter(can_be_taken, node.addresses.values()))
                addresses = dict(node.addresses)
                await fleet.start(node.name)
                self.assertEqual(node.addresses, addresses)

        trio.run(run, clock=fleet_network.make_clock())
        self.assertEqual(taken, [])
