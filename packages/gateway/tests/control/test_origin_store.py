import contextlib
import types
import unittest

import anyio
from wagtailtide_gateway.control import origin_store
from wagtailtide_gateway.control import servers as servers_
from wagtailtide_gateway.control import stream_origins
from wagtailtide_testing import virtual_time

from tests.control import object_store

KIND = 'origins'

PORT = types.SimpleNamespace(
    origins_kind=KIND,
)

# The longest time from the report of a first event to the store while that
# answers in milliseconds. The report itself takes some milliseconds.
MAX_DELAY_S = 0.28

# Writes a second, at most.
MAX_WRITES_PER_S = 5

BOTH = (('engines', 'v1'), ('engines', 'v1.1'))


class FakeServers:
    """List of servers with the given versions."""

    def __init__(self, versions):
        self.versions = versions
        self.noted = set()

    def is_settled(self, now):
        return now > servers_.VERSION_TTL_S

    def note_versions(self, versions, now):
        self.noted.update(versions)

    def software_versions(self, now):
        return self.versions

    def may_have_several_versions(self, now):
        return len(self.versions) > 1


class Leader:
    """An instance that writes what began the streams while it leads.

    Attributes:
        is_leader: Whether it leads.
        fence: Its fencing token.
        first_revision: Revision of the lease when it first read it.
        origins: Its OriginDirectory.
        servers: Its FakeServers.
    """

    def __init__(self, store, fence=1, versions=BOTH):
        self.is_leader = True
        self.fence = fence
        self.first_revision = 0
        self.origins = stream_origins.OriginDirectory()
        self.servers = FakeServers(versions)
        self.writer = origin_store.OriginWriter(
            store, PORT, self, self, self.servers
        )

    def begin(self, *keys, version='v1'):
        """Receive the report of streams that have begun."""
        versions = dict.fromkeys(keys, version)
        self.origins.receive(versions, anyio.current_time())

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the writer until the block ends."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.writer.run)
            yield self
            tg.cancel_scope.cancel()


def stored_streams(store):
    """Return the version by key of all streams in the store."""
    found = {}
    for value in store.values(KIND):
        _, streams = origin_store.decode(value)
        for key, version in streams.items():
            stream_origins.merge(found, key, version)
    return found


class CodingTest(unittest.TestCase):
    def test_value_is_decoded_as_it_was_encoded(self):
        streams = {1: 'v1', 2**64 - 1: 'v1.1', 7: 'v1'}
        value = origin_store.encode(BOTH, streams)
        self.assertEqual(origin_store.decode(value), (BOTH, streams))

    def test_largest_value_fits_into_the_store(self):
        streams = dict.fromkeys(range(origin_store.MAX_STREAMS), 'v1')
        value = origin_store.encode(BOTH, streams)
        self.assertLess(len(str(value)), 300_000)


class WriterTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_record_is_in_the_store_in_time(self):
        # Most streams that a kill breaks are younger than 2 s.
        store = object_store.ObjectStore()
        late = []
        async with Leader(store).running() as leader:
            await anyio.sleep(1.0)
            for key in range(200):
                leader.begin(key)
                begun_at = anyio.current_time()
                await anyio.sleep(MAX_DELAY_S)
                self.assertIn(key, stored_streams(store))
                late.append(store.writes_at[-1] - begun_at)
                await anyio.sleep(0.013 * (key % 7))
        self.assertLessEqual(max(late), MAX_DELAY_S)

    @virtual_time.run_without_io
    async def test_writes_are_few_and_none_without_news(self):
        store = object_store.ObjectStore()
        async with Leader(store).running() as leader:
            await anyio.sleep(5.0)
            written = len(store.writes_at)
            await anyio.sleep(60.0)
            self.assertEqual(len(store.writes_at), written)
            for key in range(3_000):
                leader.begin(key)
                await anyio.sleep(0.01)
        writes = len(store.writes_at) - written
        self.assertLessEqual(writes, 30 * MAX_WRITES_PER_S + 1)
        self.assertEqual(len(stored_streams(store)), 3_000)

    @virtual_time.run_without_io
    async def test_nothing_is_called_while_there_is_one_version(self):
        store = object_store.ObjectStore()
        async with Leader(store, versions=BOTH[:1]).running() as leader:
            for key in range(100):
                leader.begin(key)
                await anyio.sleep(0.1)
            # It read once as its term began, because it has just started.
            self.assertEqual(store.calls, [('list', KIND)])
            store.calls.clear()
            leader.fence = 2
            await anyio.sleep(servers_.VERSION_TTL_S)
            leader.fence = 3
            await anyio.sleep(1.0)
            leader.begin(*range(100, 200))
            await anyio.sleep(1.0)
            self.assertEqual(store.calls, [('list', KIND)])
            # At a release the streams that are running are written, too.
            leader.servers.versions = BOTH
            await anyio.sleep(0.5)
            self.assertLessEqual(
                set(range(100, 200)), stored_streams(store).keys()
            )

    @virtual_time.run_without_io
    async def test_new_leader_notes_the_versions_that_the_lease_lacked(self):
        # Guards against a lease that states one version, although another
        # began streams after the last renewal and has left.
        store = object_store.ObjectStore()
        store.put(KIND, 's0', origin_store.encode((('engines', 'v0'),), {}))
        first = store.put('leases', 'holder', {}).revision
        store.put(KIND, 's1', origin_store.encode(BOTH, {1: 'v1.1'}))
        leader = Leader(store, versions=BOTH[:1])
        leader.first_revision = first
        async with leader.running():
            # Earlier than its first renewal.
            await anyio.sleep(0.3)
        self.assertEqual(leader.servers.noted, set(BOTH))

    @virtual_time.run_without_io
    async def test_nothing_is_written_without_a_valid_lease(self):
        store = object_store.ObjectStore()
        async with Leader(store).running() as leader:
            leader.is_leader = False
            leader.begin(1)
            await anyio.sleep(5.0)
        self.assertEqual(store.writes_at, [])

    @virtual_time.run_without_io
    async def test_objects_are_used_again_once_their_records_have_expired(
        self,
    ):
        store = object_store.ObjectStore()
        async with Leader(store).running() as leader:
            for key in range(1_200):
                leader.begin(key)
                await anyio.sleep(0.25)
                lately = range(max(0, key - 119), key - 1)
                self.assertLessEqual(set(lately), stored_streams(store).keys())
        self.assertLess(len(store.values(KIND)), 20)

    @virtual_time.run_without_io
    async def test_leaders_in_a_row_keep_the_records_of_each_other(self):
        # Guards against a new leader that replaces what the one before it
        # wrote, when all instances are killed several times.
        store = object_store.ObjectStore()
        for fence in range(1, 10):
            async with Leader(store, fence).running() as leader:
                for number in range(10):
                    leader.begin(100 * fence + number)
                    await anyio.sleep(0.3)
        expected = {100 * f + n for f in range(1, 10) for n in range(10)}
        self.assertEqual(stored_streams(store).keys(), expected)

    @virtual_time.run_without_io
    async def test_objects_are_bounded_however_often_the_leader_changes(self):
        store = object_store.ObjectStore()
        for fence in range(1, 3 * origin_store.MAX_OBJECTS):
            async with Leader(store, fence).running() as leader:
                leader.begin(fence)
                await anyio.sleep(0.5)
        self.assertEqual(len(store.values(KIND)), origin_store.MAX_OBJECTS)
        self.assertIn(fence, stored_streams(store))

    @virtual_time.run_without_io
    async def test_two_leaders_at_once_lose_no_record(self):
        # The lease of the first one has expired, which it does not know.
        store = object_store.ObjectStore()
        first, second = Leader(store, 1), Leader(store, 2)
        async with first.running(), second.running():
            for number in range(100):
                first.begin(1_000 + number)
                second.begin(2_000 + number)
                await anyio.sleep(0.05)
            await anyio.sleep(5.0)
        self.assertEqual(len(stored_streams(store)), 200)

    @virtual_time.run_without_io
    async def test_lost_answers_and_outages_lose_no_record(self):
        store = object_store.ObjectStore()
        async with Leader(store).running() as leader:
            for key in range(100):
                if key % 20 == 3:
                    store.lost_answers = 1
                leader.begin(key)
                await anyio.sleep(0.05)
            await anyio.sleep(3.0)
            self.assertEqual(len(stored_streams(store)), 100)
            store.is_down = True
            calls = len(store.calls)
            for key in range(100, 200):
                leader.begin(key)
                await anyio.sleep(0.1)
            # It is asked less and less often.
            self.assertLess(len(store.calls) - calls, 20)
            store.is_down = False
            await anyio.sleep(3.0)
        self.assertEqual(len(stored_streams(store)), 200)

    @virtual_time.run_without_io
    async def test_records_of_a_slow_store_are_written_together(self):
        store = object_store.ObjectStore()
        store.delay_s = 0.8
        async with Leader(store).running() as leader:
            for key in range(300):
                started_at = anyio.current_time()
                leader.begin(key)
                # Reports are not delayed by a write.
                self.assertEqual(anyio.current_time(), started_at)
                await anyio.sleep(0.02)
            await anyio.sleep(3.0)
        self.assertEqual(len(stored_streams(store)), 300)
        self.assertLess(len(store.writes_at), 12)

    @virtual_time.run_without_io
    async def test_many_records_are_split(self):
        store = object_store.ObjectStore()
        count = 2 * origin_store.MAX_STREAMS + 10
        async with Leader(store).running() as leader:
            leader.begin(*range(count))
            await anyio.sleep(2.0)
        self.assertEqual(len(stored_streams(store)), count)
        self.assertGreaterEqual(len(store.values(KIND)), 3)

    @virtual_time.run_without_io
    async def test_lease_that_lapses_between_two_writes_loses_no_record(self):
        # Guards against records that count as written although the lease
        # lapsed before, and was renewed with the same fencing token.
        store = object_store.ObjectStore()
        count = 2 * origin_store.MAX_STREAMS
        async with Leader(store).running() as leader:
            leader.begin(*range(count))
            await anyio.sleep(0.5 * origin_store.WRITE_INTERVAL_S)
            leader.is_leader = False
            await anyio.sleep(1.0)
            self.assertLess(len(stored_streams(store)), count)
            leader.is_leader = True
            await anyio.sleep(3.0)
        self.assertEqual(len(stored_streams(store)), count)

    @virtual_time.run_without_io
    async def test_attempt_with_two_versions_is_stored_as_ambiguous(self):
        store = object_store.ObjectStore()
        async with Leader(store).running() as leader:
            leader.begin(1, version='v1')
            await anyio.sleep(3.0)
            leader.begin(1, version='v1.1')
            await anyio.sleep(1.0)
        self.assertEqual(stored_streams(store), {1: stream_origins.AMBIGUOUS})
