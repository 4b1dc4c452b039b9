import unittest

from wagtailtide_gateway.control import server_state

from tests import builders


class StatementTest(unittest.TestCase):
    def test_shorter_pause_does_not_end_a_longer_one(self):
        state = server_state.ServerState(builders.make_server())
        state.note_pause(5.0, 'r1', 10.0, 10.0)
        state.note_pause(1.0, 'r2', 10.1, 10.1)
        self.assertEqual(state.paused_until, 15.0)

    def test_pause_is_bounded(self):
        state = server_state.ServerState(builders.make_server())
        state.note_pause(1e9, 'r1', 0.0, 0.0)
        self.assertEqual(state.paused_until, server_state.MAX_PAUSE_S)

    def test_log_tells_what_was_known_as_the_request_was_sent(self):
        state = server_state.ServerState(builders.make_server())
        with self.assertLogs(server_state.LOG, 'INFO') as logs:
            state.note_pause(3.0, 'r1', 10.0, 10.1)
            # Sent before the pause was known, and during it.
            state.note_pause(3.0, 'r2', 10.0, 10.2)
            state.note_pause(3.0, 'r3', 11.0, 11.1)
        known = [record.known_left_s for record in logs.records]
        self.assertEqual(known, [0.0, 0.0, 2.2])
