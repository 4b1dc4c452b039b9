import functools
import unittest

from wagtailtide_gateway import ports
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.control import store_era

from tests import builders


def decode(obj):
    if obj.value is None:
        raise ValueError('expected fields')
    return obj.value


def make_view(*listed, revision=1, now=0.0, **options):
    view = servers.ServerView(decode, lambda: None, **options)
    objects = [stored(server, revision) for server in listed]
    view.apply_list(objects, revision, now)
    return view


def stored(server, revision=1):
    return ports.StoredObject(server.id, revision, server)


def sync_entries(leader, follower, now):
    """Apply what a follower lacks of the leader's list."""
    entries = leader.changed_entries(0, follower.entry_digests())
    follower.apply_entries(entries, now)


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
        view.apply_list([stored(builders.make_server('s1'), 4)], 4, 1.1)
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
        view.apply_list([], 2, 10.1)
        self.assertFalse(view.states['s1'].accepts_requests)
        view.apply_changes([ports.Change(stored(server, 3), False)], 11.0)
        view.drop_missing(12.5)
        self.assertTrue(view.states['s1'].accepts_requests)

    def test_entry_that_does_not_return_is_removed(self):
        view = make_view(builders.make_server('s1'))
        view.note_store_recovered(10.0)
        view.apply_list([], 2, 10.1)
        view.drop_missing(12.2)
        self.assertEqual(view.states, {})

    def test_list_without_a_confirmation_is_outdated(self):
        view = make_view(builders.make_server('s1'))
        view.confirm(10.0)
        self.assertFalse(view.is_outdated(2.0, 11.9))
        self.assertTrue(view.is_outdated(2.0, 12.1))

    def test_list_is_not_outdated_while_the_store_does_not_answer(self):
        view = make_view(builders.make_server('s1'))
        view.confirm(10.0)
        view.note_list_failed(11.5)
        self.assertTrue(view.is_outdated(2.0, 12.1))
        view.note_list_failed(12.2)
        self.assertFalse(view.is_outdated(2.0, 12.3))

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
        leader.apply_list([stored(leaving, 2)], 2, 1.0)
        follower.apply_entries(leader.changed_entries(seen, {}), 1.0)
        self.assertEqual(set(follower.states), {'s1'})
        self.assertFalse(follower.states['s1'].accepts_requests)

    def test_unchanged_entries_are_not_passed_on(self):
        # Guards against sending each heartbeat of a server to all instances.
        leader = make_view(builders.make_server('s1'))
        seen = leader.entry_number
        leader.apply_list([stored(builders.make_server('s1'), 9)], 9, 1.0)
        self.assertEqual(leader.changed_entries(seen, {}), {})

    def test_changes_of_models_are_not_passed_on(self):
        # Guards against sending each entry again with each adapter order; the
        # models reach the instances as residencies.
        leader = make_view(builders.make_server('s1'))
        seen = leader.entry_number
        loaded = builders.make_server(
            's1', residency=builders.make_residency(['m1'])
        )
        leader.apply_list([stored(loaded, 9)], 9, 1.0)
        self.assertEqual(leader.changed_entries(seen, {}), {})
        self.assertIn('m1', leader.states['s1'].residency.models)

    def test_new_leader_sends_only_what_an_instance_lacks(self):
        # Guards against sending the whole list to each instance at a takeover.
        follower = make_view(
            builders.make_server('s1'), builders.make_server('s2')
        )
        leader = make_view(
            builders.make_server('s1'), builders.make_server('s3')
        )
        entries = leader.changed_entries(0, follower.entry_digests())
        self.assertEqual(set(entries), {'s2', 's3'})
        follower.apply_entries(entries, 1.0)
        self.assertEqual(set(follower.states), {'s1', 's3'})

    def test_older_list_of_a_new_leader_does_not_undo_a_leaving(self):
        # Guards against requests to a server that leaves: the instance had
        # listed the servers itself, after the leader.
        leader = make_view(builders.make_server('s1'))
        follower = make_view(
            builders.make_server('s1', leaving=True), revision=2
        )
        sync_entries(leader, follower, 1.0)
        self.assertFalse(follower.states['s1'].accepts_requests)

    def test_older_list_of_a_new_leader_does_not_restore_a_server(self):
        follower = make_view(builders.make_server('s1'))
        follower.apply_list([], 3, 1.0)
        entries = make_view(builders.make_server('s1'), revision=2)
        follower.apply_entries(entries.changed_entries(0, {}), 1.0)
        self.assertEqual(follower.states, {})

    def test_server_listed_by_the_leader_after_its_removal_is_added(self):
        follower = make_view(builders.make_server('s1'))
        follower.apply_list([], 3, 1.0)
        entries = make_view(builders.make_server('s1'), revision=4)
        follower.apply_entries(entries.changed_entries(0, {}), 1.0)
        self.assertEqual(set(follower.states), {'s1'})

    def test_restart_with_the_same_id_reaches_the_other_instances(self):
        # Guards against instances that keep the models of the previous
        # process until its entry changes again.
        leader = make_view(builders.make_server('s1'))
        follower = servers.ServerView(decode, lambda: None)
        sync_entries(leader, follower, 0.0)
        seen = leader.entry_number
        residency = builders.make_residency(process_start_ms=2)
        restarted = builders.make_server('s1', residency=residency)
        leader.apply_list([stored(restarted, 2)], 2, 1.0)
        follower.apply_entries(leader.changed_entries(seen, {}), 1.0)
        self.assertEqual(follower.states['s1'].server, restarted)

    def test_server_that_is_listed_again_reaches_the_other_instances(self):
        # Guards against servers that only some instances use after their
        # entries expired.
        server = builders.make_server('s1')
        leader = make_view(server)
        follower = servers.ServerView(decode, lambda: None)
        sync_entries(leader, follower, 0.0)
        leader.apply_list([], 2, 1.0)
        seen = leader.entry_number
        sync_entries(leader, follower, 1.0)
        self.assertEqual(follower.states, {})
        leader.apply_list([stored(server, 3)], 3, 2.0)
        follower.apply_entries(leader.changed_entries(seen, {}), 2.0)
        self.assertEqual(set(follower.states), {'s1'})

    def test_entry_missing_for_a_moment_reaches_the_other_instances(self):
        # An instance may have listed the servers while the entry was missing.
        server = builders.make_server('s1')
        leader = make_view(server)
        leader.note_store_recovered(1.0)
        leader.apply_list([], 2, 1.0)
        seen = leader.entry_number
        leader.apply_list([stored(server, 3)], 3, 2.0)
        self.assertEqual(set(leader.changed_entries(seen, {})), {'s1'})

    def test_server_that_came_back_is_restored_by_a_new_leader(self):
        # Guards against a server that an instance never uses again: it had
        # listed the servers while the entry was missing, the leader had not.
        server = builders.make_server('s1')
        leader = make_view(server)
        leader.apply_list([stored(server, 5)], 6, 2.0)
        follower = make_view(server)
        follower.apply_list([], 4, 1.0)
        sync_entries(leader, follower, 2.0)
        self.assertEqual(set(follower.states), {'s1'})


class SoftwareVersionTest(unittest.TestCase):
    SETTLED_S = servers.VERSION_TTL_S + 1.0

    def test_only_version_is_known_after_a_time(self):
        # Guards against an instance that has just started and does not know
        # of a version whose last server left before.
        view = make_view(builders.make_server('s1'))
        self.assertIsNone(view.only_version('engines', 1.0))
        self.assertEqual(view.only_version('engines', self.SETTLED_S), 'v1')

    def test_versions_before_the_start_make_the_only_one_known(self):
        view = make_view(builders.make_server('s1'))
        view.note_earlier_versions((('engines', 'v1'), ('ledger', 'v2')), 0.5)
        self.assertEqual(view.only_version('engines', 1.0), 'v1')
        view.note_earlier_versions((('engines', 'v0'),), 0.5)
        self.assertIsNone(view.only_version('engines', 1.0))
        self.assertEqual(view.only_version('engines', self.SETTLED_S), 'v1')

    def test_version_counts_for_a_time_after_its_last_server_left(self):
        view = make_view(
            builders.make_server('s1'),
            builders.make_server('s2', software_version='v1.1'),
        )
        view.apply_list(
            [stored(builders.make_server('s1'))], 2, self.SETTLED_S
        )
        self.assertTrue(view.has_several_versions(self.SETTLED_S + 1.0))
        self.assertIsNone(view.only_version('engines', self.SETTLED_S + 1.0))
        later = self.SETTLED_S + servers.VERSION_TTL_S + 1.0
        self.assertEqual(view.only_version('engines', later), 'v1')

    def test_version_before_a_restart_under_the_same_id_counts(self):
        view = make_view(builders.make_server('s1'))
        restarted = builders.make_server(
            's1',
            software_version='v1.1',
            residency=builders.make_residency(process_start_ms=2),
        )
        view.apply_changes(
            [ports.Change(stored(restarted, 2), False)], self.SETTLED_S
        )
        self.assertEqual(
            view.software_versions(self.SETTLED_S),
            (('engines', 'v1'), ('engines', 'v1.1')),
        )

    def test_version_that_changed_in_one_process_counts(self):
        # An entry that was wrong at first, or that is written late.
        view = make_view(builders.make_server('s1'))
        changed = builders.make_server('s1', software_version='v1.1')
        view.apply_changes(
            [ports.Change(stored(changed, 2), False)], self.SETTLED_S
        )
        self.assertIsNone(view.only_version('engines', self.SETTLED_S))

    def test_what_may_be_missing_counts_as_several_versions(self):
        # Guards against streams whose version is kept nowhere, because the
        # leader has just started and takes what it lists for all there was.
        view = make_view(builders.make_server('s1'))
        self.assertTrue(view.may_have_several_versions(1.0))
        view.note_earlier_versions((('engines', 'v1'),), 1.0)
        self.assertFalse(view.may_have_several_versions(1.0))
        self.assertFalse(view.may_have_several_versions(self.SETTLED_S))

    def test_version_may_be_missed_while_no_list_is_current(self):
        # Guards against a stream that goes on at another version: servers of
        # the version that began it came and went while this instance stood
        # still, or was cut off from the store and the leader.
        for passed_s, suspended_s in ((5.0, 0.0), (0.1, 5.0)):
            with self.subTest(suspended_s=suspended_s):
                suspended = iter((0.0, 0.0, suspended_s))
                view = make_view(
                    builders.make_server('s1'),
                    suspended_s=functools.partial(next, suspended),
                )
                now = self.SETTLED_S
                view.confirm(now)
                view.confirm(now + 1.5)
                self.assertEqual(view.only_version('engines', now), 'v1')
                now += 1.5 + passed_s
                view.confirm(now)
                self.assertIsNone(view.only_version('engines', now))
                view.note_earlier_versions((('engines', 'v1'),), now)
                self.assertEqual(view.only_version('engines', now), 'v1')

    def test_versions_of_other_services_do_not_count(self):
        view = make_view(
            builders.make_server('s1'),
            builders.make_server(
                's2', service='ledger', software_version='v7'
            ),
        )
        self.assertEqual(view.only_version('engines', self.SETTLED_S), 'v1')
        self.assertFalse(view.has_several_versions(self.SETTLED_S))

    def test_changed_version_is_passed_on(self):
        leader = make_view(builders.make_server('s1'))
        follower = make_view(builders.make_server('s1'))
        changed = builders.make_server('s1', software_version='v1.1')
        leader.apply_changes([ports.Change(stored(changed, 2), False)], 1.0)
        sync_entries(leader, follower, 1.0)
        self.assertEqual(follower.states['s1'].server.software_version, 'v1.1')


def restored(server, number, era=2):
    """Return the StoredObject of an entry in a restored store."""
    return ports.StoredObject(
        server.id, store_era.qualify(number, era), server
    )


class RestoredStoreTest(unittest.TestCase):
    """Entries of a store that came back from an older copy."""

    def list_restored(self, view, *listed, number=5, now=2.0):
        revision = store_era.qualify(number, 2)
        objects = [restored(server, number) for server in listed]
        view.apply_list(objects, revision, now)

    def test_leaving_with_a_lower_revision_number_is_heeded(self):
        # Guards against requests to a server that left after the restore:
        # its entry was dropped as older than the one before.
        view = make_view(builders.make_server('s1'), revision=113)
        self.list_restored(view, builders.make_server('s1'), number=106)
        leaving = builders.make_server('s1', leaving=True)
        self.list_restored(view, leaving, number=111)
        self.assertFalse(view.states['s1'].accepts_requests)

    def test_server_that_registers_after_the_restore_is_used(self):
        view = make_view(builders.make_server('s1'), revision=113)
        servers_ = [builders.make_server(id_) for id_ in ('s1', 's2')]
        self.list_restored(view, *servers_, number=106)
        self.assertTrue(view.states['s2'].accepts_requests)

    def test_late_entry_of_the_era_before_is_ignored(self):
        view = make_view(builders.make_server('s1'), revision=113)
        leaving = builders.make_server('s1', leaving=True)
        self.list_restored(view, leaving)
        view.apply_entries(
            {'s1': stored(builders.make_server('s1'), 120)}, 2.1
        )
        view.apply_entries(
            {'s2': stored(builders.make_server('s2'), 120)}, 2.1
        )
        view.apply_list([stored(builders.make_server('s1'), 121)], 121, 2.2)
        self.assertFalse(view.states['s1'].accepts_requests)
        self.assertNotIn('s2', view.states)

    def test_copy_does_not_take_back_that_a_server_leaves(self):
        # Guards against requests to a server whose leaving is newer than the
        # copy, until it writes its entry again.
        leaving = builders.make_server('s1', leaving=True)
        view = make_view(leaving, revision=9)
        self.list_restored(view, builders.make_server('s1'))
        self.assertFalse(view.states['s1'].accepts_requests)

    def test_leader_tells_the_others_what_the_copy_takes_back(self):
        view = make_view(builders.make_server('s1', leaving=True), revision=9)
        self.list_restored(view, builders.make_server('s1'))
        self.assertTrue(view.states['s1'].states_leaving)

    def test_new_process_of_a_server_that_left_is_used(self):
        view = make_view(builders.make_server('s1', leaving=True), revision=9)
        started = builders.make_server(
            's1', residency=builders.make_residency(process_start_ms=2)
        )
        self.list_restored(view, started)
        self.assertTrue(view.states['s1'].accepts_requests)

    def test_copy_does_not_bring_a_removed_server_back(self):
        # Guards against requests to a server that leaves without saying so:
        # its entry was removed after the copy was made.
        server = builders.make_server('s1')
        view = make_view(server)
        view.apply_list([], 9, 1.0)
        self.list_restored(view, server, now=2.0)
        self.list_restored(view, server, now=5.9)
        self.assertNotIn('s1', view.states)
        # Without its process the entry would have lapsed.
        self.list_restored(view, server, now=6.1)
        self.assertTrue(view.states['s1'].accepts_requests)

    def test_server_removed_after_the_restore_may_come_back(self):
        server = builders.make_server('s1')
        view = make_view(server)
        self.list_restored(view, server, now=2.0)
        self.list_restored(view, number=6, now=4.1)
        self.assertNotIn('s1', view.states)
        self.list_restored(view, server, number=7, now=4.5)
        self.assertTrue(view.states['s1'].accepts_requests)

    def test_server_that_the_copy_lacks_may_write_its_entry_again(self):
        # Guards against a server that is removed at once by an instance that
        # did not call the store while it was away.
        server = builders.make_server('s1')
        view = make_view(server, revision=113)
        self.list_restored(view, now=2.0)
        self.assertFalse(view.states['s1'].accepts_requests)
        self.list_restored(view, server, number=6, now=3.5)
        self.assertTrue(view.states['s1'].accepts_requests)

    def test_missing_server_does_not_count_as_one_that_leaves(self):
        server = builders.make_server('s1')
        view = make_view(server, revision=113)
        view.states['s1'].reported_leaving = True
        self.list_restored(view, server)
        self.assertFalse(view.states['s1'].states_leaving)

    def test_earlier_list_that_arrives_late_is_ignored(self):
        # Guards against a server that is taken for removed because a list
        # that was made before it registered is answered last.
        view = make_view(builders.make_server('s1'), revision=5)
        view.apply_list([], 4, 1.0)
        self.assertTrue(view.states['s1'].accepts_requests)
