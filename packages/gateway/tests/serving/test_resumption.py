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
        age: Age of the list in seconds.
    """

    def __init__(self, version=None, age=0.1):
        self.version = version
        self.age = age

    def only_version(self, service, now):
        return self.version

    def age_s(self, now):
        return self.age


class FakeExchange:
    """Exchange with a leader that learns of a stream after some exchanges.

    Attributes:
        count: Number of exchanges so far.
    """

    silent_s = 0.5

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


def make_resumption(servers=None, **exchange_options):
    origins = stream_origins.StreamOrigins()
    exchange = FakeExchange(origins, **exchange_options)
    shared_state = types.SimpleNamespace(
        servers=servers or FakeServers(), stream_origins=origins
    )
    resumed = resumption.Resumption(
        builders.make_settings(), shared_state, exchange
    )
    return resumed, origins, exchange


def make_job(resume_after='3', resumes='a1', may_resume=True):
    return types.SimpleNamespace(
        req=types.SimpleNamespace(
            attempt_id='a2', resume_after=resume_after, resumes=resumes
        ),
        route=builders.make_route(may_resume=may_resume),
        service=types.SimpleNamespace(name='engines'),
        software_version=None,
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
        resumed, _, exchange = make_resumption(FakeServers('v1'))
        job = make_job()
        await resumed.bind(job)
        self.assertEqual((job.software_version, exchange.count), ('v1', 0))

    @virtual_time.run_without_io
    async def test_old_list_does_not_tell_the_only_version(self):
        # Guards against an instance that is cut off and does not know of the
        # version that began the stream.
        resumed, _, _ = make_resumption(FakeServers('v1', age=5.0))
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
