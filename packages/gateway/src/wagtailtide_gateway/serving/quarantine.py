"""Keeps requests that crash backend servers from running again."""

import logging

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes

LOG = logging.getLogger(__name__)

# A request whose server has sent events for this long did not crash it; a part
# that crashes servers does so as they begin to answer.
PROOF_AFTER_S = 1.0


class Quarantine:
    """Admits requests by the crashes of servers that ran them or their parts.

    Args:
        shared_state: The SharedState of the instance.
        is_leader: Function that returns whether this instance leads. Only the
            leader tries requests with blamed parts, so that one is tried at a
            time.
    """

    def __init__(self, shared_state, is_leader):
        self._shared_state = shared_state
        self._crashes = shared_state.crashes
        self._parts = shared_state.part_crashes
        self._is_leader = is_leader

    def check(self, job):
        """Check that a request may run or wait for a server.

        Raises:
            ServingError: It or a part of its prompt has crashed servers.
        """
        now = anyio.current_time()
        error, group = self._find_error(job, now)
        if error is None:
            return
        if group is not None:
            self._log(job, group, now, 'request quarantined')
        else:
            known = self._crashes.crashes_of(job.fingerprint, now)
            LOG.info(
                'request quarantined',
                extra={'request': job.req.attempt_id, 'crashes': len(known)},
            )
        raise error

    def find_error(self, job):
        """Return the ServingError that `check` would raise, or None.

        Nothing is logged.
        """
        return self._find_error(job, anyio.current_time())[0]

    def _find_error(self, job, now):
        """Return a ServingError and its BlamedGroup; None where not any."""
        verdict = self._crashes.verdict(job.fingerprint, now)
        if verdict is crashes.Verdict.REFUSED:
            return _quarantined_error('this request'), None
        group = self._parts.find_group(job.part_fingerprints, now)
        if group is None or self._may_try(group, now):
            return None, None
        what = 'requests with a part of its prompt'
        return _quarantined_error(what), group

    def admit(self, job):
        """Check that a request may be sent to a server now.

        Raises:
            ServingError: It or a part of its prompt has crashed servers.
        """
        self.check(job)
        now = anyio.current_time()
        group = self._parts.find_group(job.part_fingerprints, now)
        if group is not None:
            self._log(job, group, now, 'blamed parts on trial')
            self._shared_state.start_trial(group)

    def _may_try(self, group, now):
        return self._is_leader() and self._parts.is_trial_due(group, now)

    def _log(self, job, group, now, event):
        parts = zip(job.req.shared_parts, job.part_fingerprints, strict=True)
        LOG.info(
            event,
            extra={
                'request': job.req.attempt_id,
                'parts': ','.join(i for i, f in parts if f in group.parts),
                'crashes': len(group.crashes) - group.trials,
                'trials': group.trials,
                'last_crash_age_s': round(now - group.last_crash_at, 2),
            },
        )

    def record_started(self, job, server_id):
        """Record that a request is about to be sent to a server."""
        job.has_proved_parts = False
        self._crashes.record_started(job.fingerprint, server_id)
        self._parts.record_started(job.part_fingerprints, server_id)

    def record_events(self, job, server_id, since_s):
        """Record that a server has sent events of a stream.

        Args:
            job: The Job.
            server_id: Id of the server.
            since_s: Seconds since its first event.
        """
        if since_s >= PROOF_AFTER_S and not job.has_proved_parts:
            job.has_proved_parts = True
            self._parts.record_ended(job.part_fingerprints, server_id)
            self._shared_state.record_proof(job.part_fingerprints)

    def record_ended(self, job, server_id, broken_at):
        """Record that a request is no longer in a server.

        Args:
            job: The Job.
            server_id: Id of the server.
            broken_at: Time in seconds at which its connection broke, None if
                the server answered or the request was cancelled.
        """
        self._crashes.record_ended(job.fingerprint, server_id, broken_at)
        if not job.has_proved_parts:
            self._parts.record_ended(
                job.part_fingerprints, server_id, broken_at
            )

    def record_completed(self, job):
        """Record that a server has completed a request."""
        self._shared_state.record_proof(
            (job.fingerprint, *job.part_fingerprints)
        )


def _quarantined_error(what):
    return kinds.ServingError(
        kinds.ErrorKind.REQUEST_QUARANTINED,
        f'servers crashed while they ran {what}; do not retry it',
    )
