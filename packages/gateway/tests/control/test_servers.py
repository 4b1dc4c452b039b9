import unittest

from wagtailtide_gateway import ports
from wagtailtide_gateway.control import servers

from tests import builders


def decode(obj):
    if obj.value is None:
        raise ValueError('expected fields')
    return obj.value


def make_view(*listed, now=0.0):
    view = servers.ServerView(decode, lambda: None)
    view.apply_list([stored(server) for server in listed], now)
    return view


def stored(server, revision=1):
    return ports.StoredObject(server.id, revision, server)


class ServerViewTest(unittest.TestCase):
    def test_invalid_entry_keeps_the_others(self):
        view = make_view(builders.make_server('s1'))
        bad = ports.StoredObject('ghost', 2, None)
        view.apply_changes([ports.Change(bad, False)], 1.0)
        self.assertEqual(set(view.states), {'s1'})

    def test_restart_with_the_same_id_resets_the_residency(self):
        # Guards against requests for models of the previous process.
        view = make_view(builders.make_server('s1'))
        view.apply_residency('s1', builders.make_residency(['m1']))
        restarted = builders.make_server(
            's1', residency=builders.make_residency(process_start_ms=2)
        )
        view.apply_changes([ports.Change(stored(restarted), False)], 1.0)
        self.assertFalse(view.states['s1'].can_serve('m1', None, 1.0))

    def test_late_list_does_not_take_back_that_a_server_leaves(self):
        # Guards against requests to a leaving server after the answer to an
        # earlier list call arrived late.
        view = make_view(builders.make_server('s1'))
        leaving = stored(builders.make_server('s1', leaving=True), 5)
        view.apply_entries({'s1': leaving}, 1.0)
        view.apply_list([stored(builders.make_server('s1'), 4)], 1.1)
        self.assertFalse(view.states['s1'].accepts_requests)

    def test_late_entry_of_the_previous_process_is_ignored(self):
        new = builders.make_server(
            's1', residency=builders.make_residency(['m1'], process_start_ms=2)
        )
        view = make_view(new)
        old = builders.make_server('s1')
        view.apply_changes([ports.Change(stored(old), False)], 1.0)
        self.assertTrue(view.states['s1'].can_serve('m1', None, 1.0))

    def test_entries_missing_after_a_store_outage_may_return(self):
        server = builders.make_server('s1')
        view = make_view(server)
        view.note_store_recovered(10.0)
        view.apply_list([], 10.1)
        self.assertFalse(view.states['s1'].accepts_requests)
        view.apply_changes([ports.Change(stored(server), False)], 11.0)
        view.drop_missing(12.5)
        self.assertTrue(view.states['s1'].accepts_requests)

    def test_entry_that_does_not_return_is_removed(self):
        view = make_view(builders.make_server('s1'))
        view.note_store_recovered(10.0)
        view.apply_list([], 10.1)
        view.drop_missing(12.2)
        self.assertEqual(view.states, {})

    def test_leaving_server_accepts_no_requests(self):
        view = make_view(builders.make_server('s1', leaving=True))
        self.assertFalse(view.states['s1'].accepts_requests)

    def test_model_is_unavailable_for_a_short_time_after_a_refusal(self):
        server = builders.make_server(
            residency=builders.make_residency(['m1'])
        )
        state = make_view(server).states['s1']
        state.note_unavailable('m1', None, 5.0)
        self.assertFalse(state.can_serve('m1', None, 5.1))
        self.assertTrue(state.can_serve('m1', None, 6.0))


class EntriesTest(unittest.TestCase):
    def test_follower_applies_changed_entries(self):
        leader = make_view(
            builders.make_server('s1'), builders.make_server('s2')
        )
        follower = servers.ServerView(decode, lambda: None)
        follower.apply_entries(leader.changed_entries(0, {}), 0.0)
        seen = leader.entry_number
        leaving = builders.make_server('s1', leaving=True)
        leader.apply_list([stored(leaving)], 1.0)
        follower.apply_entries(leader.changed_entries(seen, {}), 1.0)
        self.assertEqual(set(follower.states), {'s1'})
        self.assertFalse(follower.states['s1'].accepts_requests)

    def test_unchanged_entries_are_not_passed_on(self):
        # Guards against sending each heartbeat of a server to all instances.
        leader = make_view(builders.make_server('s1'))
        seen = leader.entry_number
        leader.apply_list([stored(builders.make_server('s1'), 9)], 1.0)
        self.assertEqual(leader.changed_entries(seen, {}), {})

    def test_server_that_is_listed_again_is_passed_on(self):
        # Guards against servers that only the leader uses after their entries
        # lapsed during a store outage.
        server = builders.make_server('s1')
        leader = make_view(server)
        follower = servers.ServerView(decode, lambda: None)
        follower.apply_entries(leader.changed_entries(0, {}), 0.0)
        leader.apply_list([], 1.0)
        seen = leader.entry_number
        follower.apply_entries(leader.changed_entries(1, {}), 1.0)
        leader.apply_list([stored(server)], 2.0)
        follower.apply_entries(leader.changed_entries(seen, {}), 2.0)
        self.assertEqual(set(follower.states), {'s1'})

    def test_restart_with_the_same_id_is_passed_on(self):
        # Guards against instances that ignore the residencies of a restarted
        # server, because they know the start of its previous process.
        leader = make_view(builders.make_server('s1'))
        seen = leader.entry_number
        restarted = builders.make_server(
            's1', residency=builders.make_residency(process_start_ms=2)
        )
        leader.apply_list([stored(restarted)], 1.0)
        self.assertEqual(set(leader.changed_entries(seen, {})), {'s1'})

    def test_new_leader_sends_only_what_an_instance_lacks(self):
        # Guards against sending the whole list to each instance at a takeover.
        follower = make_view(
            builders.make_server('s1'), builders.make_server('s2')
        )
        leader = make_view(
            builders.make_server('s1'), builders.make_server('s3')
        )
        entries = leader.changed_entries(0, follower.known_entries())
        self.assertEqual(set(entries), {'s2', 's3'})
        follower.apply_entries(entries, 1.0)
        self.assertEqual(set(follower.states), {'s1', 's3'})
