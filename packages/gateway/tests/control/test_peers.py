import unittest

from wagtailtide_gateway.control import peers

from tests import builders


def make_peer(instance, unreachable=()):
    return peers.Peer(instance, '127.0.0.1', 9, tuple(unreachable))


def make_directory(*found):
    directory = peers.PeerDirectory()
    directory.apply(found)
    return directory


class PeerDirectoryTest(unittest.TestCase):
    def test_only_peers_that_reach_the_server_are_chosen(self):
        directory = make_directory(
            make_peer('front-1', ['s1']), make_peer('front-2')
        )
        self.assertEqual(directory.choose('s1', 0.0).instance, 'front-2')
        directory = make_directory(make_peer('front-1', ['s1']))
        self.assertFalse(directory.has_path('s1', 0.0))
        self.assertTrue(directory.has_path('s2', 0.0))

    def test_peer_with_the_fewest_requests_is_chosen(self):
        first, second = make_peer('front-1'), make_peer('front-2')
        directory = make_directory(first, second)
        directory.record_start(first)
        self.assertIs(directory.choose('s1', 0.0), second)
        directory.record_end(first)
        directory.record_start(second)
        self.assertIs(directory.choose('s1', 0.0), first)

    def test_failed_peer_is_avoided_for_a_while(self):
        peer = make_peer('front-1')
        directory = make_directory(peer)
        directory.record_failed(peer, 10.0)
        self.assertFalse(directory.has_path('s1', 10.5))
        self.assertTrue(directory.has_path('s1', 11.5))

    def test_server_that_a_peer_does_not_reach_either_is_lost(self):
        directory = make_directory(make_peer('front-1'), make_peer('front-2'))
        directory.record_lost('s1', 10.0)
        self.assertFalse(directory.has_path('s1', 10.5))
        self.assertTrue(directory.has_path('s2', 10.5))
        self.assertTrue(directory.has_path('s1', 11.5))


class PeerAssignmentTest(unittest.TestCase):
    def assign(self, *reports):
        by_name = {report.instance: report for report in reports}
        found = peers.PeerAssignment().peers_of(
            'front-1', lambda: by_name, 0.0
        )
        return {peer.instance for peer in found}

    def test_instances_that_do_not_stop_are_peers(self):
        assigned = self.assign(
            builders.make_report('front-1'),
            builders.make_report('front-3', unreachable=('s1',)),
            builders.make_report('front-4', peer_port=0),
        )
        self.assertEqual(assigned, {'front-3'})
