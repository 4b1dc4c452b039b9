"""Detect requests that crash the backend servers that run them."""

import collections
import dataclasses
import enum
import hashlib

CRASHES_TO_REFUSE = 3
RECORD_TTL_S = 3_600.0

# A crash is attributed to requests whose connection broke at most this long
# before. A connection usually breaks before a refused connection or a new boot
# id confirms the crash; reports with boot ids are read every second.
BROKEN_ATTRIBUTION_S = 10.0

# The oldest records are dropped first.
MAX_RECORDS = 10_000


class Verdict(enum.StrEnum):
    """How a request may be run.

    Attributes:
        FREE: On any server.
        ISOLATED: On a server that runs no other suspect request.
        REFUSED: Not at all.
    """

    FREE = 'free'
    ISOLATED = 'isolated'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, order=True)
class CrashId:
    """One crash, identified by the server and the process that ended."""

    server: str
    boot_id: str


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """Crashes of servers on which a request was running.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Ids of the crashes.
        last_at: Monotonic time in seconds of the last crash, by this
            instance's clock.
    """

    fingerprint: str
    crashes: frozenset[CrashId]
    last_at: float


def fingerprint(organisation, route, body):
    """Return the fingerprint of a request.

    Args:
        organisation: Name of the organisation, empty for an open route.
        route: Path of the route.
        body: Body as received, in bytes.
    """
    # A cryptographic hash, so that an organisation cannot construct a request
    # that has the fingerprint of another request.
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


class CrashTracker:
    """Tracks the requests in flight on each server and their crashes.

    Attributes:
        crashes_to_refuse: Number of crashes from which a request is refused.
    """

    def __init__(self, crashes_to_refuse=CRASHES_TO_REFUSE):
        self.crashes_to_refuse = crashes_to_refuse
        self._records = collections.OrderedDict()
        self._in_flight = {}
        self._broken_at = {}
        self._stopping = set()

    def record_started(self, fingerprint, server):
        """Record that a request is about to be sent to a server.

        Args:
            fingerprint: Fingerprint of the request.
            server: Name of the server.
        """
        running = self._in_flight.setdefault(server, collections.Counter())
        running[fingerprint] += 1

    def record_ended(self, fingerprint, server, broken_at=None):
        """Record that a request is no longer in flight on a server.

        Args:
            fingerprint: Fingerprint of the request.
            server: Name of the server.
            broken_at: Monotonic time in seconds at which its connection broke,
                None if the server answered or the request was cancelled.
        """
        running = self._in_flight.get(server, collections.Counter())
        running[fingerprint] -= 1
        if running[fingerprint] <= 0:
            del running[fingerprint]
        if broken_at is not None:
            self._broken_at.setdefault(server, {})[fingerprint] = broken_at

    def record_completed(self, fingerprint):
        """Clear a request that was completed.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            Whether crashes were recorded for it.
        """
        for broken in self._broken_at.values():
            broken.pop(fingerprint, None)
        return self._records.pop(fingerprint, None) is not None

    def record_stopping(self, server, stopping):
        """Record whether a server is in a planned stop.

        Args:
            server: Name of the server.
            stopping: Whether it is in a planned stop.
        """
        if stopping:
            self._stopping.add(server)
        else:
            self._stopping.discard(server)

    def record_crash(self, server, boot_id, now):
        """Attribute a crash to the requests that were running on the server.

        Args:
            server: Name of the server.
            boot_id: Identifier of the process that ended.
            now: Monotonic time in seconds.

        Returns:
            The records that changed, which the caller sends to the peers.
            Empty if the stop was planned or the crash is already recorded.
        """
        crash = CrashId(server, boot_id)
        if server in self._stopping:
            self._broken_at.pop(server, None)
            return ()
        fingerprints = set(self._in_flight.get(server, ()))
        for fingerprint, broken_at in self._broken_at.pop(server, {}).items():
            if now - broken_at <= BROKEN_ATTRIBUTION_S:
                fingerprints.add(fingerprint)
        return tuple(
            self._add(fingerprint, {crash}, now)
            for fingerprint in sorted(fingerprints)
            if crash not in self.crashes_of(fingerprint, now)
        )

    def replace_crashes(self, fingerprint, crashes, last_at):
        """Replace the crashes of a request by those merged from all instances.

        Args:
            fingerprint: Fingerprint of the request.
            crashes: Set of `CrashId`, empty if the request was cleared.
            last_at: Monotonic time in seconds of the last crash.
        """
        known = self._records.get(fingerprint)
        if not crashes:
            self._records.pop(fingerprint, None)
        elif known is None or known.crashes != crashes:
            self._records[fingerprint] = CrashRecord(
                fingerprint, crashes, last_at
            )
            self._drop_oldest()

    def _drop_oldest(self):
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def _add(self, fingerprint, crashes, now):
        known = self._records.pop(fingerprint, None)
        if known is not None and now - known.last_at > RECORD_TTL_S:
            known = None
        before = known.crashes if known is not None else frozenset()
        record = CrashRecord(fingerprint, before | frozenset(crashes), now)
        self._records[fingerprint] = record
        self._drop_oldest()
        return record

    def crashes_of(self, fingerprint, now):
        """Return the ids of the crashes that are recorded for a request.

        Args:
            fingerprint: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        record = self._records.get(fingerprint)
        if record is None or now - record.last_at > RECORD_TTL_S:
            return frozenset()
        return record.crashes

    def verdict(self, fingerprint, now):
        """Return how a request may be run.

        Args:
            fingerprint: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        count = len(self.crashes_of(fingerprint, now))
        if count >= self.crashes_to_refuse:
            return Verdict.REFUSED
        return Verdict.ISOLATED if count else Verdict.FREE

    def servers_with_other_suspects(self, fingerprint, now):
        """Return the names of the servers that run another suspect request.

        A request is suspect if crashes are recorded for it.

        Args:
            fingerprint: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        return frozenset(
            server
            for server, running in self._in_flight.items()
            if any(
                other != fingerprint and self.crashes_of(other, now)
                for other in running
            )
        )

    def records(self, now):
        """Return the records that have not expired.

        Args:
            now: Monotonic time in seconds.
        """
        return tuple(
            record
            for record in self._records.values()
            if now - record.last_at <= RECORD_TTL_S
        )
