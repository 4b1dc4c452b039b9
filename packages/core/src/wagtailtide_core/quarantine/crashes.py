"""Detection of requests that crash the backend servers that run them."""

import collections
import dataclasses
import enum
import hashlib

CRASHES_TO_REFUSE = 3
RECORD_EXPIRES_S = 3_600.0

# A connection usually breaks before the crash behind it is confirmed by a
# refused connection or a new boot id; reports are read every second.
BROKEN_ATTRIBUTION_S = 10.0

# Bound on the fingerprints that are remembered, oldest dropped first.
MAX_RECORDS = 10_000


class Verdict(enum.StrEnum):
    """How a request may be run."""

    FREE = 'free'
    ISOLATED = 'isolated'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, order=True)
class CrashId:
    """One crash: the server and the process that ended."""

    server: str
    boot_id: str


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """Crashes that a request was part of.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: The crashes.
        last_at: Monotonic time in seconds of the last crash, by this
            instance's clock.
    """

    fingerprint: str
    crashes: frozenset[CrashId]
    last_at: float


def fingerprint(organisation, route, body):
    """Return the fingerprint of a request.

    Args:
        organisation: Name of the organisation, empty on an open route.
        route: Path of the route.
        body: Body as received, in bytes.
    """
    # A cryptographic hash keeps one organisation from building a request
    # with the fingerprint of another request.
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


class CrashLedger:
    """Requests in flight on each server and the crashes they were part of."""

    def __init__(self, crashes_to_refuse=CRASHES_TO_REFUSE):
        self.crashes_to_refuse = crashes_to_refuse
        self._records = collections.OrderedDict()
        self._running = {}
        self._broken = {}
        self._stopping = set()

    def record_started(self, mark, server):
        """Note that a request is about to be sent to a server."""
        running = self._running.setdefault(server, collections.Counter())
        running[mark] += 1

    def record_ended(self, mark, server, broken_at=None):
        """Note that a request is no longer in flight on a server.

        Args:
            mark: Fingerprint of the request.
            server: Name of the server.
            broken_at: Time at which its connection broke, or None if the
                server answered or the request was cancelled.
        """
        running = self._running.get(server, collections.Counter())
        running[mark] -= 1
        if running[mark] <= 0:
            del running[mark]
        if broken_at is not None:
            self._broken.setdefault(server, {})[mark] = broken_at

    def record_completed(self, mark):
        """Clear a request that ran to its end.

        Returns:
            Whether crashes were recorded for it.
        """
        for broken in self._broken.values():
            broken.pop(mark, None)
        return self._records.pop(mark, None) is not None

    def record_stopping(self, server, stopping):
        """Note whether a server is in a planned stop."""
        if stopping:
            self._stopping.add(server)
        else:
            self._stopping.discard(server)

    def record_crash(self, server, boot_id, now):
        """Attribute a crash to the requests that ran on the server.

        Args:
            server: Name of the server.
            boot_id: Identifier of the process that ended.
            now: Monotonic time in seconds.

        Returns:
            The records that changed, to be gossiped. Empty if the stop was
            planned or the crash was counted before.
        """
        crash = CrashId(server, boot_id)
        if server in self._stopping:
            self._broken.pop(server, None)
            return ()
        marks = set(self._running.get(server, ()))
        for mark, broken_at in self._broken.pop(server, {}).items():
            if now - broken_at <= BROKEN_ATTRIBUTION_S:
                marks.add(mark)
        return tuple(
            self._add(mark, {crash}, now)
            for mark in sorted(marks)
            if crash not in self.crashes_of(mark, now)
        )

    def adopt(self, mark, crashes, last_at):
        """Take over the set that all instances have agreed on.

        Args:
            mark: Fingerprint of the request.
            crashes: CrashIds; empty if the request was cleared.
            last_at: Monotonic time in seconds of the last crash.
        """
        known = self._records.get(mark)
        if not crashes:
            self._records.pop(mark, None)
        elif known is None or known.crashes != crashes:
            self._records[mark] = CrashRecord(mark, crashes, last_at)
            self._drop_oldest()

    def _drop_oldest(self):
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def _add(self, mark, crashes, now):
        known = self._records.pop(mark, None)
        if known is not None and now - known.last_at > RECORD_EXPIRES_S:
            known = None
        before = known.crashes if known is not None else frozenset()
        record = CrashRecord(mark, before | frozenset(crashes), now)
        self._records[mark] = record
        self._drop_oldest()
        return record

    def crashes_of(self, mark, now):
        """Return the crashes that a request was part of."""
        record = self._records.get(mark)
        if record is None or now - record.last_at > RECORD_EXPIRES_S:
            return frozenset()
        return record.crashes

    def verdict(self, mark, now):
        """Return how a request may be run.

        Args:
            mark: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        count = len(self.crashes_of(mark, now))
        if count >= self.crashes_to_refuse:
            return Verdict.REFUSED
        return Verdict.ISOLATED if count else Verdict.FREE

    def servers_with_other_suspects(self, mark, now):
        """Return the servers that run a suspect request other than this one.

        Args:
            mark: Fingerprint of the request.
            now: Monotonic time in seconds.
        """
        return frozenset(
            server
            for server, running in self._running.items()
            if any(
                other != mark and self.crashes_of(other, now)
                for other in running
            )
        )

    def records(self, now):
        """Return the records that have not expired."""
        return tuple(
            record
            for record in self._records.values()
            if now - record.last_at <= RECORD_EXPIRES_S
        )
