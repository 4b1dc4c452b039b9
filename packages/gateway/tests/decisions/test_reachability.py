import unittest

from wagtailtide_gateway.decisions import reachability


class ReachabilityTest(unittest.TestCase):
    def test_unreachable_server_is_used_again_once_it_accepts(self):
        found = reachability.Reachability()
        found.record_failed('s1', 10.0)
        self.assertTrue(found.is_unreachable('s1'))
        self.assertEqual(found.unreachable, ('s1',))
        self.assertTrue(found.record_connected('s1', 12.0))
        self.assertFalse(found.is_unreachable('s1'))

    def test_bytes_on_open_connections_make_no_server_reachable(self):
        found = reachability.Reachability()
        found.record_failed('s1', 10.0)
        found.record_bytes(11.0)
        self.assertTrue(found.is_unreachable('s1'))

    def test_instance_is_cut_off_if_it_reaches_no_server(self):
        found = reachability.Reachability()
        found.record_failed('s1', 10.0)
        self.assertFalse(found.is_cut_off(['s1', 's2']))
        found.record_failed('s2', 10.0)
        self.assertTrue(found.is_cut_off(['s1', 's2']))
        self.assertFalse(found.is_cut_off([]))

    def test_servers_are_silent_if_none_answers_an_open_request(self):
        found = reachability.Reachability()
        self.assertFalse(found.is_silent(10.0))
        found.record_request_start(10.0)
        self.assertFalse(found.is_silent(10.4))
        self.assertTrue(found.is_silent(10.5))
        found.record_bytes(10.5)
        self.assertFalse(found.is_silent(10.9))
        found.record_request_end()
        self.assertFalse(found.is_silent(20.0))

    def test_new_process_of_a_server_is_reachable(self):
        found = reachability.Reachability()
        found.record_failed('s1', 10.0)
        found.forget('s1')
        self.assertFalse(found.is_unreachable('s1'))
