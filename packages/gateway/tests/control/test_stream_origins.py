import contextlib
import dataclasses
import unittest

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.decisions import lease
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import election_fixture

TWO_VERSIONS = {'s1': 'v1', 's2': 'v1.1'}


class StreamOriginsTest(unittest.TestCase):
    def test_record_expires_after_the_longest_stream(self):
        origins = stream_origins.StreamOrigins()
        origins.record_begun('a1', 'v1', 10.0)
        last_at = 10.0 + stream_origins.ORIGIN_TTL_S
        self.assertEqual(origins.version_of('a1', last_at), 'v1')
        self.assertIsNone(origins.version_of('a1', last_at + 0.1))

    def test_lost_report_is_repeated(self):
        origins = stream_origins.StreamOrigins()
        origins.record_begun('a1', 'v1', 10.0)
        lost = origins.take_unreported()
        origins.record_begun('a2', 'v1.1', 10.1)
        origins.restore_unreported(lost)
        self.assertEqual(
            origins.take_unreported(),
            {
                stream_origins.origin_key('a1'): 'v1',
                stream_origins.origin_key('a2'): 'v1.1',
            },
        )

    def test_attempt_is_asked_for_until_all_requests_have_ended(self):
        origins = stream_origins.StreamOrigins()
        origins.add_wanted('a1')
        origins.add_wanted('a1')
        origins.remove_wanted('a1')
        self.assertEqual(origins.wanted, (stream_origins.origin_key('a1'),))
        origins.remove_wanted('a1')
        self.assertEqual(origins.wanted, ())

    def test_two_versions_of_one_attempt_make_it_ambiguous(self):
        # Two instances answered the same attempt; the caller has the text of
        # one of them.
        origins = stream_origins.StreamOrigins()
        origins.record_begun('a1', 'v1', 10.0)
        key = stream_origins.origin_key('a1')
        origins.learn({key: 'v1'}, 10.1)
        self.assertEqual(origins.version_of('a1', 10.2), 'v1')
        origins.learn({key: 'v1.1'}, 10.3)
        self.assertEqual(
            origins.version_of('a1', 10.4), stream_origins.AMBIGUOUS
        )
        origins.learn({key: 'v1.1'}, 10.5)
        self.assertEqual(
            origins.version_of('a1', 10.6), stream_origins.AMBIGUOUS
        )

    def test_attempt_that_one_instance_answered_twice_is_ambiguous(self):
        origins = stream_origins.StreamOrigins()
        for version in ('v1', 'v1.1', 'v1.1'):
            origins.record_begun('a1', version, 10.0)
        self.assertEqual(
            origins.take_unreported(),
            {stream_origins.origin_key('a1'): stream_origins.AMBIGUOUS},
        )
        self.assertEqual(
            origins.version_of('a1', 10.1), stream_origins.AMBIGUOUS
        )


class OriginDirectoryTest(unittest.TestCase):
    def test_two_versions_of_one_attempt_are_passed_on_as_ambiguous(self):
        directory = stream_origins.OriginDirectory()
        directory.receive({1: 'v1'}, 10.0)
        seen = directory.number
        directory.receive({1: 'v1'}, 10.1)
        self.assertEqual(directory.since(seen), {})
        for version in ('v1.1', 'v1', 'v1.1'):
            directory.receive({1: version}, 10.2)
            self.assertEqual(
                directory.since(seen), {1: stream_origins.AMBIGUOUS}
            )
        self.assertEqual(directory.number, seen + 1)

    def test_answer_has_what_was_asked_for_and_what_is_new(self):
        directory = stream_origins.OriginDirectory()
        directory.receive({1: 'v1', 2: 'v1'}, 10.0)
        seen = directory.number
        directory.receive({3: 'v1.1'}, 10.1)
        report = builders.make_report(
            wanted_origins=(1, 9), seen_origin_number=seen
        )
        self.assertEqual(directory.answer(report, True), {1: 'v1', 3: 'v1.1'})
        self.assertEqual(directory.answer(report, False), {1: 'v1'})

    def test_instance_without_a_number_gets_no_earlier_records(self):
        # Guards against a new leader that sends all records to everyone.
        directory = stream_origins.OriginDirectory()
        directory.receive(dict.fromkeys(range(1000), 'v1'), 10.0)
        self.assertEqual(directory.answer(builders.make_report(), True), {})

    def test_records_expire(self):
        directory = stream_origins.OriginDirectory()
        directory.receive({1: 'v1'}, 10.0)
        later = 10.1 + stream_origins.ORIGIN_TTL_S
        directory.receive({2: 'v1'}, later)
        report = builders.make_report(
            wanted_origins=(1, 2), seen_origin_number=1
        )
        self.assertEqual(directory.answer(report, True), {2: 'v1'})


def version_at(member, attempt_id):
    return member.shared_state.stream_origins.version_of(
        attempt_id, anyio.current_time()
    )


def record_begun(member, attempt_id, version):
    member.shared_state.stream_origins.record_begun(
        attempt_id, version, anyio.current_time()
    )


@contextlib.asynccontextmanager
async def running_cluster(versions):
    """Run three instances, the first of which leads.

    Args:
        versions: Software versions of the servers s1 and s2, v1 by default.

    Yields:
        The Member objects, and a function that ends the leader.
    """
    store = election_fixture.FakeStore()
    network = election_fixture.FakeNetwork()
    members = [
        election_fixture.Member(name, store, network)
        for name in ('leader', 'origin', 'other')
    ]
    leader, *others = members
    leader_scope = anyio.CancelScope()

    async def lead():
        with leader_scope:
            await leader.run()

    def end_leader():
        leader_scope.cancel()
        del network.instances[leader.address]

    leader.apply_list({'s1': ['m1'], 's2': ['m1']}, 1, versions)
    async with anyio.create_task_group() as tg:
        tg.start_soon(lead)
        await anyio.sleep(1.0)
        for member in others:
            tg.start_soon(member.run)
        await anyio.sleep(1.0)
        yield members, end_leader
        tg.cancel_scope.cancel()


class ClusterTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_all_instances_know_what_began_a_stream(self):
        # Incident 006. They know it when neither the leader nor the instance
        # that began the stream answers any more.
        async with running_cluster(TWO_VERSIONS) as (members, _):
            _, origin, other = members
            record_begun(origin, 'a1', 'v1.1')
            await anyio.sleep(0.6)
            self.assertEqual(version_at(other, 'a1'), 'v1.1')

    @virtual_time.run_without_io
    async def test_records_are_not_passed_on_while_there_is_one_version(self):
        async with running_cluster({}) as (members, _):
            _, origin, other = members
            record_begun(origin, 'a1', 'v1')
            await anyio.sleep(0.6)
            self.assertIsNone(version_at(other, 'a1'))
            other.shared_state.stream_origins.add_wanted('a1')
            await other.exchange.wait_for_exchange(1.0)
            self.assertEqual(version_at(other, 'a1'), 'v1')

    @virtual_time.run_without_io
    async def test_new_leader_learns_what_began_the_running_streams(self):
        async with running_cluster({}) as (members, end_leader):
            _, origin, other = members
            record_begun(origin, 'a1', 'v1')
            await anyio.sleep(0.6)
            end_leader()
            await anyio.sleep(6.0)
            other.shared_state.stream_origins.add_wanted('a1')
            for _ in range(2):
                await other.exchange.wait_for_exchange(1.0)
            self.assertEqual(version_at(other, 'a1'), 'v1')


class RestartTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_instances_that_all_restart_know_the_earlier_versions(self):
        # Guards against refused resumptions after a restart of all instances,
        # and against streams that go on at the version that replaced theirs.
        for versions, only in (({}, 'v1'), (TWO_VERSIONS, None)):
            async with running_cluster(versions) as (members, _):
                store = members[0].store
                await anyio.sleep(1.5)
            started = election_fixture.Member(
                'started', store, election_fixture.FakeNetwork()
            )
            async with anyio.create_task_group() as tg:
                tg.start_soon(started.run)
                await anyio.sleep(1.0)
                started.apply_list({'s1': ['m1']}, 2)
                servers = started.shared_state.servers
                now = anyio.current_time()
                self.assertEqual(servers.only_version('engines', now), only)
                tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_instance_that_stood_still_asks_what_versions_came(self):
        # Guards against a stream that goes on at the only version listed: its
        # own came and went while this instance stood still.
        async with running_cluster({}) as (members, _):
            leader, *_ = members
            late = election_fixture.Member(
                'late', leader.store, leader.network
            )
            servers = late.shared_state.servers
            async with anyio.create_task_group() as tg:
                tg.start_soon(keep_list, leader)
                with anyio.move_on_after(3.0):
                    await late.run()
                self.assertEqual(only_version(late), 'v1')
                leader.apply_list(
                    {'s1': ['m1'], 's9': ['m1']}, 3, {'s9': 'v9'}
                )
                await anyio.sleep(2.0)
                leader.apply_list({'s1': ['m1']}, 4)
                await anyio.sleep(2.0)
                # The next look at the lease comes up to 0.65 s later.
                tg.start_soon(late.exchange.run)
                await late.exchange.wait_for_exchange(1.0)
                self.assertEqual(set(servers.states), {'s1'})
                self.assertIsNone(only_version(late))
                tg.start_soon(late.leadership.run)
                await anyio.sleep(2.0)
                versions = servers.software_versions(anyio.current_time())
                self.assertIn(('engines', 'v9'), versions)
                self.assertIsNone(only_version(late))
                tg.cancel_scope.cancel()


async def keep_list(member):
    """Confirm the list of a member, as its reads do."""
    while True:
        member.shared_state.servers.confirm(anyio.current_time())
        await anyio.sleep(0.4)


def only_version(member):
    now = anyio.current_time()
    return member.shared_state.servers.only_version('engines', now)


V1 = ('engines', 'v1')
V2 = ('engines', 'v1.1')


def put_lease(store, versions, renewals=1):
    """Write the lease as a leader that has been lost did."""
    record = lease.DutyRecord(
        'lost', '10.0.0.99', 1, 3, renewals, 1, 0.0, versions
    )
    revision = store.obj.revision + 1 if store.obj else 1
    value = dataclasses.asdict(record)
    store.obj = ports.StoredObject('holder', revision, value)


def versions_in_lease(store):
    versions = store.obj.value['software_versions']
    return versions if versions is None else set(versions)


class RecordedVersionsTest(unittest.TestCase):
    """Versions in the lease, by which a started instance knows the only one.

    A version that is missing there lets streams that it began go on at
    another one.
    """

    @virtual_time.run_without_io
    async def test_first_renewal_keeps_the_versions_of_the_predecessor(self):
        # Guards against a leader that renews before it has noted them.
        store = election_fixture.FakeStore()
        put_lease(store, (V1, V2))
        member = election_fixture.Member(
            'leader', store, election_fixture.FakeNetwork()
        )
        member.apply_list({'s1': ['m1']}, 1)
        async with anyio.create_task_group() as tg:
            # Without exchanges, as if these were late.
            tg.start_soon(member.leadership.run)
            await anyio.sleep(8.0)
            self.assertTrue(member.leadership.is_leader)
            self.assertGreater(store.obj.value['renewals'], 0)
            self.assertEqual(versions_in_lease(store), {V1, V2})
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_leader_that_may_lack_versions_states_none(self):
        # The lease was written by a build that does not state them.
        store = election_fixture.FakeStore()
        put_lease(store, None)
        member = election_fixture.Member(
            'leader', store, election_fixture.FakeNetwork()
        )
        member.apply_list({'s1': ['m1']}, 1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(member.run)
            await anyio.sleep(8.0)
            self.assertGreater(store.obj.value['renewals'], 0)
            self.assertIsNone(versions_in_lease(store))
            await anyio.sleep(stream_origins.ORIGIN_TTL_S)
            self.assertEqual(versions_in_lease(store), {V1})
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_leader_keeps_versions_that_came_while_it_was_cut_off(self):
        store = election_fixture.FakeStore()
        put_lease(store, (V1,))
        member = election_fixture.Member(
            'leader', store, election_fixture.FakeNetwork()
        )
        member.apply_list({'s1': ['m1']}, 1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(member.run)
            await anyio.sleep(0.5)
            put_lease(store, (V1, V2), renewals=2)
            await anyio.sleep(8.0)
            self.assertTrue(member.leadership.is_leader)
            self.assertEqual(versions_in_lease(store), {V1, V2})
            servers = member.shared_state.servers
            now = anyio.current_time()
            self.assertIsNone(servers.only_version('engines', now))
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_versions_of_a_lease_do_not_stay_for_ever(self):
        # Guards against leaders in a row that pass an old version on.
        store = election_fixture.FakeStore()
        put_lease(store, (V1, V2))
        member = election_fixture.Member(
            'leader', store, election_fixture.FakeNetwork()
        )
        member.apply_list({'s1': ['m1']}, 1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(member.run)
            await anyio.sleep(10.0 + stream_origins.ORIGIN_TTL_S)
            self.assertEqual(versions_in_lease(store), {V1})
            tg.cancel_scope.cancel()
