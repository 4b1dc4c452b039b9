import contextlib
import types
import unittest

import anyio
from wagtailtide_gateway import shared_state
from wagtailtide_gateway.control import origin_reader
from wagtailtide_gateway.control import origin_store
from wagtailtide_gateway.control import servers as servers_
from wagtailtide_gateway.control import stream_origins
from wagtailtide_testing import virtual_time

from tests.control import election_fixture
from tests.control import object_store

KIND = 'origins'

PORT = types.SimpleNamespace(
    origins_kind=KIND,
    servers_kind='servers',
    decode_config=lambda value: value,
    decode_server=election_fixture.PORT.decode_server,
)

BOTH = (('engines', 'v1'), ('engines', 'v1.1'))


@contextlib.asynccontextmanager
async def running_reader(store, first_revision=0):
    """Run an OriginReader; yield it and its SharedState."""
    state = shared_state.SharedState(PORT, anyio.current_time)
    reader = origin_reader.OriginReader(
        store, PORT, state, lambda: first_revision
    )
    async with anyio.create_task_group() as tg:
        tg.start_soon(reader.run)
        yield reader, state
        tg.cancel_scope.cancel()


def put_server(store, name, version):
    value = {'models': ['m1'], 'version': version}
    return store.put('servers', name, value)


class ReaderTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_all_that_wait_share_one_read(self):
        store = object_store.ObjectStore()
        key = stream_origins.origin_key('a1')
        store.put(KIND, 's0', origin_store.encode(BOTH, {key: 'v1'}))
        async with running_reader(store) as (reader, state):
            async with anyio.create_task_group() as tg:
                for _ in range(50):
                    tg.start_soon(reader.read_records)
            self.assertEqual(len(store.calls), 1)
            version = state.stream_origins.version_of(
                'a1', anyio.current_time()
            )
            self.assertEqual(version, 'v1')

    @virtual_time.run_without_io
    async def test_reads_of_one_instance_are_bounded(self):
        store = object_store.ObjectStore()
        async with running_reader(store) as (reader, _):
            with anyio.move_on_after(10.0):
                while True:
                    await reader.read_records()
        self.assertLessEqual(len(store.calls), 11)

    @virtual_time.run_without_io
    async def test_requests_of_a_burst_do_not_wait_for_the_next_read(self):
        # Guards against requests that are refused after a second, because
        # they arrived while the records were being read.
        store = object_store.ObjectStore()
        store.delay_s = 0.1
        async with running_reader(store) as (reader, _):
            async with anyio.create_task_group() as tg:
                for _ in range(10):
                    tg.start_soon(reader.read_records)
                    await anyio.sleep(0.009)
                with anyio.fail_after(0.15):
                    await reader.read_records()
            self.assertEqual(len(store.calls), 1)

    @virtual_time.run_without_io
    async def test_list_is_newer_than_each_request_of_a_burst(self):
        store = object_store.ObjectStore()
        store.delay_s = 0.1
        put_server(store, 's1', 'v1')
        async with running_reader(store) as (reader, state):

            async def read():
                arrived_at = anyio.current_time()
                # The time in which a request has to find the version.
                with anyio.fail_after(0.6):
                    await reader.read_list()
                now = anyio.current_time()
                age_s = state.servers.age_s(now)
                self.assertLessEqual(age_s, now - arrived_at)

            async with anyio.create_task_group() as tg:
                for _ in range(20):
                    tg.start_soon(read)
                    await anyio.sleep(0.03)

    @virtual_time.run_without_io
    async def test_malformed_objects_are_ignored(self):
        store = object_store.ObjectStore()
        good = origin_store.encode(BOTH, {1: 'v1'})
        for number, bad in enumerate(
            (
                None,
                'text',
                [],
                {},
                good | {'versions': 7},
                good | {'streams': ['v1']},
                good | {'streams': {'v1': 'AAAA'}},
                good | {'streams': {'v1': '*'}},
                good | {'streams': {'v1': 7}},
            )
        ):
            store.put(KIND, f's{number}', bad)
        store.put(KIND, 'good', good)
        async with running_reader(store) as (reader, _):
            with self.assertLogs(origin_store.LOG, 'WARNING'):
                await reader.read_records()
            self.assertTrue(reader.has_read)

    @virtual_time.run_without_io
    async def test_failed_read_ends_the_wait(self):
        store = object_store.ObjectStore()
        store.is_down = True
        async with running_reader(store) as (reader, _):
            with anyio.fail_after(1.0):
                await reader.read_records()
            self.assertFalse(reader.has_read)

    @virtual_time.run_without_io
    async def test_failed_read_is_repeated_while_requests_wait(self):
        # A request waits a second for the version; after a kill of all
        # instances the store may fail for a moment.
        store = object_store.ObjectStore()
        store.is_down = True
        async with running_reader(store) as (reader, _):
            with anyio.fail_after(0.5):
                await reader.read_records()
                store.is_down = False
                await reader.read_records()
            self.assertTrue(reader.has_read)

    @virtual_time.run_without_io
    async def test_store_that_is_down_is_asked_less_and_less(self):
        store = object_store.ObjectStore()
        store.is_down = True
        async with running_reader(store) as (reader, _):
            with anyio.move_on_after(10.0):
                while True:
                    await reader.read_records()
        self.assertLess(len(store.calls), 15)

    @virtual_time.run_without_io
    async def test_version_that_came_after_the_lease_was_written_counts(self):
        # Guards against the version of the lease being taken for the only
        # one, when another came and left between the last renewal and the
        # start of this instance.
        store = object_store.ObjectStore()
        lease = store.put('leases', 'holder', {})
        put_server(store, 's1', 'v1')
        store.put(KIND, 's0', origin_store.encode(BOTH, {1: 'v1.1'}))
        async with running_reader(store, lease.revision) as (reader, state):
            servers = state.servers
            servers.note_earlier_versions(BOTH[:1], anyio.current_time())
            await reader.read_list()
            now = anyio.current_time()
            self.assertEqual(servers.only_version('engines', now), 'v1')
            await reader.read_records()
            now = anyio.current_time()
            self.assertIsNone(servers.only_version('engines', now))

    @virtual_time.run_without_io
    async def test_versions_of_an_earlier_release_do_not_count(self):
        # Objects are never deleted. Guards against refusals because of a
        # release that was long ago.
        store = object_store.ObjectStore()
        store.put(KIND, 's0', origin_store.encode(BOTH, {1: 'v1.1'}))
        put_server(store, 's1', 'v1')
        lease = store.put('leases', 'holder', {})
        async with running_reader(store, lease.revision) as (reader, state):
            servers = state.servers
            servers.note_earlier_versions(BOTH[:1], anyio.current_time())
            await reader.read_list()
            await reader.read_records()
            now = anyio.current_time()
            self.assertEqual(servers.only_version('engines', now), 'v1')
        async with running_reader(store, 0) as (reader, state):
            await reader.read_list()
            await anyio.sleep(servers_.VERSION_TTL_S + 1.0)
            await reader.read_records()
            now = anyio.current_time()
            only = state.servers.only_version('engines', now)
            self.assertEqual(only, 'v1')

    @virtual_time.run_without_io
    async def test_read_list_is_as_old_as_its_call(self):
        store = object_store.ObjectStore()
        put_server(store, 's1', 'v1')
        async with running_reader(store) as (reader, state):
            arrived_at = anyio.current_time()
            await reader.read_list()
            now = anyio.current_time()
            self.assertLessEqual(state.servers.age_s(now), now - arrived_at)
            self.assertEqual(set(state.servers.states), {'s1'})
