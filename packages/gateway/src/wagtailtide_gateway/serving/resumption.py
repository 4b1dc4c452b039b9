"""Finds the software version with which a caller's stream has to go on."""

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.decisions import quota

# Longest time in seconds to find the version that began a stream. The instance
# that began it reports within an interval of the exchanges.
ORIGIN_TIMEOUT_S = 1.0

# Longest wait in seconds for the leader before the store is read.
LEADER_ANSWER_S = 0.3

# Pause in seconds between questions, and Retry-After of a request whose
# version was not found while a leader answers.
ORIGIN_RETRY_S = 0.1
RETRY_AFTER_S = 0.5

# Ids of the last event of a caller that has none. Servers number them from 1.
_NO_EVENT = (None, '0')


class Resumption:
    """Looks up what began the streams that callers resume.

    Args:
        cfg: The Settings.
        shared_state: The SharedState of the instance.
        exchange: Exchange with the leader.
        reader: OriginReader, which reads the store.
    """

    def __init__(self, shared_state, exchange, reader):
        self._servers = shared_state.servers
        self._origins = shared_state.stream_origins
        self._exchange = exchange
        self._reader = reader

    async def bind(self, job):
        """Set the software version of a job that resumes a stream.

        Raises:
            ServingError: It is not known which version began the stream.
        """
        if not job.resumes_stream:
            return
        arrived_at = anyio.current_time()
        version = self._recorded(job)
        if version is None:
            with anyio.move_on_after(ORIGIN_TIMEOUT_S):
                version = await self._look_up(job, arrived_at)
        if version in (None, stream_origins.AMBIGUOUS):
            raise self._unconfirmed()
        job.software_version = version

    def record_begun(self, job):
        """Record the version that sent the first event of a job's stream."""
        if job.req.resume_after not in _NO_EVENT or not job.route.may_resume:
            return
        now = anyio.current_time()
        self._origins.record_begun(
            job.req.attempt_id, job.software_version, now
        )
        if self._servers.only_version(job.service.name, now) is None:
            # The caller may resume the stream before the next interval.
            self._exchange.start_now()

    def _recorded(self, job):
        """Return the version in the records of this instance, or None."""
        if job.req.resumes is None:
            return None
        now = anyio.current_time()
        return self._origins.version_of(job.req.resumes, now)

    async def _look_up(self, job, arrived_at):
        """Ask the leader and the store; None if that cannot help."""
        if job.req.resumes is None:
            return await self._only_version(job, arrived_at)
        self._origins.add_wanted(job.req.resumes)
        try:
            while True:
                await self._exchange.wait_for_exchange(LEADER_ANSWER_S)
                version = self._recorded(job)
                if version is None:
                    await self._reader.read_records()
                    version = self._recorded(job)
                if version is None:
                    version = await self._only_version(job, arrived_at)
                if version is not None:
                    return version
                await anyio.sleep(ORIGIN_RETRY_S)
        finally:
            self._origins.remove_wanted(job.req.resumes)

    async def _only_version(self, job, arrived_at):
        """Return the only version that the service has had, or None.

        The list has to be newer than the request: another instance may have
        begun the stream at a version that an older list lacks.
        """
        service = job.service.name
        if self._servers.only_version(service, arrived_at) is None:
            return None
        if not self._reader.has_read:
            await self._reader.read_records()
        if self._is_older_than(arrived_at):
            await self._reader.read_list()
        if not self._reader.has_read or self._is_older_than(arrived_at):
            return None
        return self._servers.only_version(service, anyio.current_time())

    def _is_older_than(self, at):
        now = anyio.current_time()
        return self._servers.age_s(now) > now - at

    def _unconfirmed(self):
        retry_after_s = RETRY_AFTER_S
        if not self._exchange.hears_leader:
            retry_after_s = quota.unconfirmed_retry_s(
                self._exchange.silent_s, self._exchange.lease_s
            )
        return kinds.ServingError(
            kinds.ErrorKind.RESUME_UNCONFIRMED,
            'it is not known which software version began the stream; retry '
            'after the time in Retry-After',
            retry_after_s=retry_after_s,
        )
