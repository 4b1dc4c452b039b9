import types
import unittest

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.serving import resumption
from wagtailtide_testing import virtual_time

from tests import builders


class FakeServers:
    """List of servers.

    Attributes:
        version: The only version of all servers, or None.
        confirmed_at: Time in seconds at which the list was current.
    """

    def __init__(self, version=None, age_s=0.1):
        self.version = version
        self.confirmed_at = anyio.current_time() - age_s

    def only_version(self, service, now):
        return self.version

    def age_s(self, now):
        return now - self.confirmed_at


class FakeReader:
    """Reader of a store with some records and a list of servers.

    Args:
        servers: The FakeServers.
        origins: The StreamOrigins.
        stored: Software version by attempt id in the store.
        listed_version: The only version in the store's list, or None.
        is_down: Whether the store does not answer.

    Attributes:
        has_read: Whether the records have been read.
        reads: What was read, in order.
    """

    def __init__(
        self, servers, origins, stored=(), listed_version=None, is_down=False
    ):
        self._servers = servers
        self._origins = origins
        self._stored = dict(stored)
        self._listed_version = listed_version
        self._is_down = is_down
        self.has_read = False
        self.reads = []

    async def read_records(self):
        self.reads.append('records')
        await anyio.sleep(0.005)
        if self._is_down:
            return
        self.has_read = True
        found = {
            stream_origins.origin_key(attempt_id): version
            for attempt_id, version in self._stored.items()
        }
        self._origins.learn(found, anyio.current_time())

    async def read_list(self):
        self.reads.append('list')
        sent_at = anyio.current_time()
        await anyio.sleep(0.005)
        if self._is_down:
            return
        self._servers.version = self._listed_version
        self._servers.confirmed_at = sent_at


class FakeExchange:
    """Exchange with a leader that learns of a stream after some exchanges.

    Attributes:
        count: Number of exchanges so far.
    """

    silent_s = 0.5
    lease_s = 3.0

    def __init__(self, origins, known_after=None, hears_leader=True):
        self._origins = origins
        self._known_after = known_after
        self.hears_leader = hears_leader
        self.count = 0

    def start_now(self):
        pass

    async def wait_for_exchange(self, timeout_s):
        self.count += 1
        await anyio.sleep(0.005)
        if self._known_after is not None and self.count > self._known_after:
            now = anyio.current_time()
            self._origins.learn(dict.fromkeys(self._origins.wanted, 'v2'), now)


def make_resumption(servers=None, reader_options=None, **exchange_options):
    servers = servers or FakeServers()
    origins = stream_origins.StreamOrigins()
    exchange = FakeExchange(origins, **exchange_options)
    shared_state = types.SimpleNamespace(
        servers=servers, stream_origins=origins
    )
    reader = FakeReader(servers, origins, **(reader_options or {}))
    resumed = resumption.Resumption(shared_state, exchange, reader)
    resumed.reader = reader
    return resumed, origins, exchange


def make_job(resume_after='3', resumes='a1', may_resume=True):
    return types.SimpleNamespace(
        req=types.SimpleNamespace(
            attempt_id='a2', resume_after=resume_after, resumes=resumes
        ),
        route=builders.make_route(may_resume=may_resume),
        service=types.SimpleNamespace(name='engines'),
        software_version=None,
        resumes_stream=resume_after is not None and may_resume,
    )


class BindTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_own_stream_is_known_without_an_exchange(self):
        resumed, origins, exchange = make_resumption()
        origins.record_begun('a1', 'v1', anyio.current_time())
        job = make_job()
        await resumed.bind(job)
        self.assertEqual((job.software_version, exchange.count), ('v1', 0))

    @virtual_time.run_without_io
    async def test_leader_is_asked_until_it_has_heard_of_the_stream(self):
        resumed, _, _ = make_resumption(known_after=3)
        job = make_job()
        await resumed.bind(job)
        self.assertEqual(job.software_version, 'v2')

    @virtual_time.run_without_io
    async def test_only_version_needs_no_record(self):
        # It is read from a list that is newer than the request.
        resumed, _, _ = make_resumption(
            FakeServers('v1'), {'listed_version': 'v1'}
        )
        for job in (make_job(), make_job(resumes=None)):
            await resumed.bind(job)
            self.assertEqual(job.software_version, 'v1')
        self.assertEqual(resumed.reader.reads.count('list'), 2)

    @virtual_time.run_without_io
    async def test_list_older_than_a_release_does_not_tell_the_only_version(
        self,
    ):
        # Guards against an instance whose list, 0.1 s old, lacks the version
        # that another instance began the stream at: resumed at v1, the stream
        # had the text of two versions.
        for job in (make_job(), make_job(resumes=None)):
            resumed, _, _ = make_resumption(
                FakeServers('v1'), {'listed_version': None}
            )
            with self.assertRaises(kinds.ServingError):
                await resumed.bind(job)

    @virtual_time.run_without_io
    async def test_old_list_does_not_tell_the_only_version(self):
        # Guards against an instance that is cut off and does not know of the
        # version that began the stream.
        for age_s in (0.1, 5.0):
            resumed, _, _ = make_resumption(
                FakeServers('v1', age_s), {'is_down': True}
            )
            with self.assertRaises(kinds.ServingError):
                await resumed.bind(make_job())

    @virtual_time.run_without_io
    async def test_record_in_the_store_is_read_if_no_leader_knows_it(self):
        # Incident 011. The record counts, not the only version that is left.
        for version in (None, 'v2'):
            resumed, _, _ = make_resumption(
                FakeServers(version),
                {'stored': {'a1': 'v1'}, 'listed_version': version},
                hears_leader=False,
            )
            job = make_job()
            await resumed.bind(job)
            self.assertEqual(job.software_version, 'v1')
            self.assertEqual(resumed.reader.reads, ['records'])

    @virtual_time.run_without_io
    async def test_store_is_not_read_for_what_a_leader_knows(self):
        resumed, _, _ = make_resumption(
            reader_options={'stored': {'a1': 'v1'}}, known_after=0
        )
        await resumed.bind(make_job())
        self.assertEqual(resumed.reader.reads, [])

    @virtual_time.run_without_io
    async def test_position_that_was_not_sent_does_not_change_the_version(
        self,
    ):
        # Last-Event-Id is 0, beyond what was sent, or no number.
        for resume_after in ('0', '9999', '-1', '', 'x'):
            with self.subTest(resume_after):
                resumed, _, _ = make_resumption(
                    reader_options={'stored': {'a1': 'v1'}}
                )
                job = make_job(resume_after=resume_after)
                await resumed.bind(job)
                self.assertEqual(job.software_version, 'v1')
                unknown = make_job(resume_after=resume_after, resumes='a9')
                with self.assertRaises(kinds.ServingError):
                    await resumed.bind(unknown)

    @virtual_time.run_without_io
    async def test_attempt_answered_with_two_versions_is_refused(self):
        # Guards against a caller that has the answer of one instance and goes
        # on at another, which answered the same attempt with another version.
        resumed, origins, _ = make_resumption()
        now = anyio.current_time()
        origins.record_begun('a1', 'v2', now)
        origins.learn({stream_origins.origin_key('a1'): 'v1'}, now)
        with self.assertRaises(kinds.ServingError):
            await resumed.bind(make_job())

    @virtual_time.run_without_io
    async def test_unknown_stream_is_refused_as_not_run(self):
        for hears_leader in (True, False):
            with self.subTest(hears_leader=hears_leader):
                resumed, _, _ = make_resumption(hears_leader=hears_leader)
                started_at = anyio.current_time()
                with self.assertRaises(kinds.ServingError) as caught:
                    await resumed.bind(make_job())
                elapsed_s = anyio.current_time() - started_at
                exc = caught.exception
                self.assertIs(exc.kind, kinds.ErrorKind.RESUME_UNCONFIRMED)
                self.assertIs(exc.fate, kinds.Fate.NOT_RUN)
                self.assertGreater(exc.retry_after_s, 0.0)
                self.assertLessEqual(
                    elapsed_s, resumption.ORIGIN_TIMEOUT_S + 0.1
                )

    @virtual_time.run_without_io
    async def test_stream_without_an_attempt_is_refused_at_once(self):
        resumed, _, exchange = make_resumption()
        with self.assertRaises(kinds.ServingError):
            await resumed.bind(make_job(resumes=None))
        self.assertEqual(exchange.count, 0)

    @virtual_time.run_without_io
    async def test_new_streams_and_other_routes_are_not_bound(self):
        for job in (
            make_job(resume_after=None),
            make_job(resume_after=None, resumes=None),
            make_job(may_resume=False),
        ):
            resumed, _, exchange = make_resumption()
            await resumed.bind(job)
            self.assertEqual((job.software_version, exchange.count), (None, 0))


class RecordTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_resumed_stream_is_not_recorded_as_begun(self):
        resumed, origins, _ = make_resumption()
        job = make_job()
        job.software_version = 'v1'
        resumed.record_begun(job)
        self.assertEqual(origins.take_unreported(), {})
        job = make_job(resume_after=None)
        job.software_version = 'v1'
        resumed.record_begun(job)
        self.assertEqual(list(origins.take_unreported().values()), ['v1'])

    @virtual_time.run_without_io
    async def test_stream_after_a_first_attempt_without_an_event_is_recorded(
        self,
    ):
        # Guards against a stream that can't be resumed, because the attempt
        # that brought its first event had Last-Event-Id 0.
        resumed, origins, _ = make_resumption()
        job = make_job(resume_after='0')
        job.software_version = 'v1'
        resumed.record_begun(job)
        self.assertEqual(list(origins.take_unreported().values()), ['v1'])
