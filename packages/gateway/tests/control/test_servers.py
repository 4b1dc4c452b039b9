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
    def test_entry_that_cannot_be_read_keeps_the_others(self):
        view = make_view(builders.make_server('s1'))
        bad = ports.StoredObject('ghost', 2, None)
        view.apply_changes([ports.Change(bad, False)], 1.0)
        self.assertEqual(set(view.states), {'s1'})

    def test_restart_under_the_same_id_forgets_what_it_held(self):
        # Guards against requests for models of the process before.
        view = make_view(builders.make_server('s1'))
        view.adopt_news('s1', builders.make_residency(['m1']))
        again = builders.make_server(
            's1', residency=builders.make_residency(born_ms=2)
        )
        view.apply_changes([ports.Change(stored(again), False)], 1.0)
        self.assertFalse(view.states['s1'].holds('m1', None, 1.0))

    def test_late_entry_of_the_process_before_is_ignored(self):
        new = builders.make_server(
            's1', residency=builders.make_residency(['m1'], born_ms=2)
        )
        view = make_view(new)
        old = builders.make_server('s1')
        view.apply_changes([ports.Change(stored(old), False)], 1.0)
        self.assertTrue(view.states['s1'].holds('m1', None, 1.0))

    def test_entries_that_lapsed_with_the_store_get_time_to_return(self):
        server = builders.make_server('s1')
        view = make_view(server)
        view.note_store_returned(10.0)
        view.apply_list([], 10.1)
        self.assertFalse(view.states['s1'].takes_work)
        view.apply_changes([ports.Change(stored(server), False)], 11.0)
        view.drop_lapsed(12.5)
        self.assertTrue(view.states['s1'].takes_work)

    def test_entry_that_does_not_return_is_gone(self):
        view = make_view(builders.make_server('s1'))
        view.note_store_returned(10.0)
        view.apply_list([], 10.1)
        view.drop_lapsed(12.2)
        self.assertEqual(view.states, {})

    def test_leaving_server_takes_no_work(self):
        view = make_view(builders.make_server('s1', leaving=True))
        self.assertFalse(view.states['s1'].takes_work)

    def test_refusal_for_a_missing_model_is_remembered_for_a_moment(self):
        server = builders.make_server(
            residency=builders.make_residency(['m1'])
        )
        state = make_view(server).states['s1']
        state.note_lacks('m1', None, 5.0)
        self.assertFalse(state.holds('m1', None, 5.1))
        self.assertTrue(state.holds('m1', None, 6.0))


class EntriesTest(unittest.TestCase):
    def test_another_instance_follows_by_changes_alone(self):
        holder = make_view(
            builders.make_server('s1'), builders.make_server('s2')
        )
        other = servers.ServerView(decode, lambda: None)
        other.apply_entries(holder.entries_after(0), True, 0.0)
        seen = holder.entry_number
        leaving = builders.make_server('s1', leaving=True)
        holder.apply_list([stored(leaving)], 1.0)
        other.apply_entries(holder.entries_after(seen), False, 1.0)
        self.assertEqual(set(other.states), {'s1'})
        self.assertFalse(other.states['s1'].takes_work)

    def test_unchanged_entries_are_not_passed_on(self):
        # Guards against check-ins that cost bytes at every instance.
        holder = make_view(builders.make_server('s1'))
        seen = holder.entry_number
        holder.apply_list([stored(builders.make_server('s1'), 9)], 1.0)
        self.assertEqual(holder.entries_after(seen), {})

    def test_whole_list_of_a_new_holder_removes_what_it_lacks(self):
        other = make_view(builders.make_server('s1'))
        entries = make_view(builders.make_server('s2')).entries_after(0)
        other.apply_entries(entries, True, 1.0)
        self.assertEqual(set(other.states), {'s2'})
