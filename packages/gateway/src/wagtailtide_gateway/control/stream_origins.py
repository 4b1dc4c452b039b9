"""Software versions that began streams, known to all instances.

A caller whose connection broke resumes its stream at any instance and names
the attempt that brought the first event. Each instance records which version
sent the first event of its streams and reports it to the leader, which answers
for single attempts. While a service has servers of several versions, the
leader also passes the records on to all instances, so that they outlive it and
the instance that began the stream.
"""

import collections
import hashlib

# Seconds for which a record is kept: the longest time that a caller waits for
# a stream.
ORIGIN_TTL_S = 30.0

KEY_BYTES = 8
MAX_KEY = 256**KEY_BYTES - 1

# Version of an attempt that was answered with several versions. Which of them
# its caller has is not known, so no server may go on with the stream.
AMBIGUOUS = ''


def origin_key(attempt_id):
    """Return the key of an attempt, a hash that is shorter than most ids."""
    digest = hashlib.blake2b(attempt_id.encode(), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest())


def group_by_version(versions):
    """Return the keys by version, from the version by key."""
    keys = {}
    for key, version in versions.items():
        keys.setdefault(version, []).append(key)
    return keys


def merge(versions, key, version):
    """Add the version of a key; two different ones make it ambiguous."""
    if versions.setdefault(key, version) != version:
        versions[key] = AMBIGUOUS


def _add(records, key, version, now):
    """Add a record as the newest one of an OrderedDict; return its version."""
    known, _ = records.pop(key, (version, now))
    version = version if known == version else AMBIGUOUS
    records[key] = (version, now)
    return version


def _drop_expired(records, now):
    """Drop the expired records of an OrderedDict, which has the oldest first.

    A record is a tuple of the version, its time in seconds and more.
    """
    while records:
        _, recorded_at, *_ = next(iter(records.values()))
        if now - recorded_at <= ORIGIN_TTL_S:
            break
        records.popitem(last=False)


class StreamOrigins:
    """Records of one instance: own streams and what the leader passed on."""

    def __init__(self):
        self._known = collections.OrderedDict()
        self._own = collections.OrderedDict()
        self._unreported = {}
        self._wanted = {}

    def record_begun(self, attempt_id, version, now):
        """Record the version that sent the first event of an attempt."""
        key = origin_key(attempt_id)
        _drop_expired(self._own, now)
        version = _add(self._own, key, version, now)
        self._unreported[key] = version

    def version_of(self, attempt_id, now):
        """Return the version that began a stream.

        None if it is not known, AMBIGUOUS if there were several.
        """
        key = origin_key(attempt_id)
        found = {}
        for records in (self._own, self._known):
            version, recorded_at = records.get(key, (None, now))
            if version is not None and now - recorded_at <= ORIGIN_TTL_S:
                merge(found, key, version)
        return found.get(key)

    def add_wanted(self, attempt_id):
        """Ask the leader for the version that began an attempt's stream."""
        key = origin_key(attempt_id)
        self._wanted[key] = self._wanted.get(key, 0) + 1

    def remove_wanted(self, attempt_id):
        """End what `add_wanted` began."""
        key = origin_key(attempt_id)
        self._wanted[key] -= 1
        if not self._wanted[key]:
            del self._wanted[key]

    @property
    def wanted(self):
        """Keys of the attempts to ask the leader for."""
        return tuple(self._wanted)

    def take_unreported(self):
        """Return the version by key of streams that were not reported yet."""
        unreported, self._unreported = self._unreported, {}
        return unreported

    def restore_unreported(self, versions):
        """Report these again, because the report was lost."""
        self._unreported = dict(versions) | self._unreported

    def report_again(self, now):
        """Report all own streams to a new leader."""
        _drop_expired(self._own, now)
        self._unreported = {k: v for k, (v, _) in self._own.items()}

    def learn(self, versions, now):
        """Record the version by key in an update of the leader."""
        _drop_expired(self._known, now)
        for key, version in versions.items():
            _add(self._known, key, version, now)


class OriginDirectory:
    """Records of all instances, kept by the leader.

    Attributes:
        number: Number of the last record.
    """

    def __init__(self):
        self.number = 1
        self._records = collections.OrderedDict()

    def receive(self, versions, now):
        """Add the version by key in a report of an instance."""
        _drop_expired(self._records, now)
        for key, version in versions.items():
            known = self._records.get(key, (None,))[0]
            if known in (version, AMBIGUOUS):
                continue
            if known is not None:
                # Two instances answered the same attempt.
                del self._records[key]
                version = AMBIGUOUS
            self.number += 1
            self._records[key] = (version, now, self.number)

    def answer(self, report, with_new):
        """Return the version by key for the sender of a report.

        Args:
            report: The Report.
            with_new: Whether to add, to those it asks for, the records that it
                has not heard of. One without a number gets no earlier ones.
        """
        versions = {
            key: self._records[key][0]
            for key in report.wanted_origins
            if key in self._records
        }
        if with_new and report.seen_origin_number:
            versions |= self.since(report.seen_origin_number)
        return versions

    def since(self, number):
        """Return the version by key of the records after a number."""
        versions = {}
        for key, (version, _, record_number) in reversed(
            self._records.items()
        ):
            if record_number <= number:
                break
            versions[key] = version
        return versions
