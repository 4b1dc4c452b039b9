"""Finds the software version with which a caller's stream has to go on."""

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.decisions import quota

# Longest time in seconds to ask for the version that began a stream. The
# instance that began it reports within an interval of the exchanges.
ORIGIN_TIMEOUT_S = 1.0

# Pause in seconds between questions, and Retry-After of a request whose
# version was not found while a leader answers.
ORIGIN_RETRY_S = 0.1
RETRY_AFTER_S = 0.5


# Largest age in seconds of the list of servers to tell by it alone that a
# service has one version only.
MAX_LIST_AGE_S = 1.5


class Resumption:
    """Looks up what began the streams that callers resume.

    Args:
        cfg: The Settings.
        shared_state: The SharedState of the instance.
        exchange: Exchange with the leader.
    """

    def __init__(self, cfg, shared_state, exchange):
        self._cfg = cfg
        self._servers = shared_state.servers
        self._origins = shared_state.stream_origins
        self._exchange = exchange

    async def bind(self, job):
        """Set the software version of a job that resumes a stream.

        Raises:
            ServingError: It is not known which version began the stream.
        """
        req = job.req
        if req.resume_after is None or not job.route.may_resume:
            return
        version = self._find(job)
        if version is None and req.resumes is not None:
            version = await self._ask(job)
        if version is None:
            raise self._unconfirmed()
        job.software_version = version

    def record_begun(self, job):
        """Record the version that sent the first event of a job's stream."""
        if job.req.resume_after is not None or not job.route.may_resume:
            return
        now = anyio.current_time()
        self._origins.record_begun(
            job.req.attempt_id, job.software_version, now
        )
        if self._servers.only_version(job.service.name, now) is None:
            # The caller may resume the stream before the next interval.
            self._exchange.start_now()

    def _find(self, job):
        now = anyio.current_time()
        version = None
        if job.req.resumes is not None:
            version = self._origins.version_of(job.req.resumes, now)
        # A list that is older may lack the version that began the stream.
        if version is None and self._servers.age_s(now) <= MAX_LIST_AGE_S:
            version = self._servers.only_version(job.service.name, now)
        return version

    async def _ask(self, job):
        """Ask the leader; return the version, None if it is not found."""
        self._origins.add_wanted(job.req.resumes)
        try:
            with anyio.move_on_after(ORIGIN_TIMEOUT_S):
                while True:
                    await self._exchange.wait_for_exchange(ORIGIN_TIMEOUT_S)
                    version = self._find(job)
                    if version is not None:
                        return version
                    await anyio.sleep(ORIGIN_RETRY_S)
        finally:
            self._origins.remove_wanted(job.req.resumes)
        return None

    def _unconfirmed(self):
        retry_after_s = RETRY_AFTER_S
        if not self._exchange.hears_leader:
            retry_after_s = quota.unconfirmed_retry_s(
                self._exchange.silent_s, self._cfg.lease_s
            )
        return kinds.ServingError(
            kinds.ErrorKind.RESUME_UNCONFIRMED,
            'it is not known which software version began the stream; retry '
            'after the time in Retry-After',
            retry_after_s=retry_after_s,
        )
