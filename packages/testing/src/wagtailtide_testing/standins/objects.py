"""Versioned objects with conditional updates and one global revision."""

import collections
import dataclasses

import sortedcontainers

# Changes that a stale read can go back over, and deletions that a watch can
# still report.
KEPT_CHANGES = 1_000


@dataclasses.dataclass(frozen=True)
class Entry:
    """One version of an object; a deleted one has no value."""

    key: str
    version: int
    value: bytes | None

    @property
    def deleted(self):
        """Whether this version is a deletion."""
        return self.value is None


class Conflict(Exception):
    """The expected version is not the current one."""


class TooOld(Exception):
    """A watch asked for changes that are no longer known."""


class Objects:
    """All objects.

    Attributes:
        revision: Version of the latest change.
    """

    def __init__(self):
        self.revision = 0
        self._entries = sortedcontainers.SortedDict()
        # (entry after the change, entry before it or None), oldest first.
        self._changes = collections.deque()
        self._oldest_since = 0

    def write(self, key, value, expected):
        """Write or delete (value None) an object.

        Args:
            key: Key of the object.
            value: New value, or None to delete.
            expected: Current version; None if there must be no object.

        Returns:
            The new version.

        Raises:
            Conflict: The current version differs.
        """
        before = self._entries.get(key)
        live = before if before and not before.deleted else None
        if expected != (live.version if live else None):
            raise Conflict(key)
        self.revision += 1
        entry = Entry(key, self.revision, value)
        self._entries[key] = entry
        self._changes.append((entry, before))
        if len(self._changes) > KEPT_CHANGES:
            self._forget_oldest()
        return self.revision

    def get(self, key, behind=0):
        """Return the live entry, or None."""
        entry = self._at(behind).get(key)
        return None if entry is None or entry.deleted else entry

    def list(self, prefix, behind=0):
        """Return live entries with a prefix and the revision."""
        found = _with_prefix(self._at(behind), prefix)
        return [e for e in found if not e.deleted], self.seen(behind)

    def changed_since(self, prefix, since, behind=0):
        """Return entries changed after a revision, and the revision.

        Raises:
            TooOld: Deletions since then are no longer all known.
        """
        if since < self._oldest_since:
            raise TooOld(since)
        found = _with_prefix(self._at(behind), prefix)
        return [e for e in found if e.version > since], self.seen(behind)

    def seen(self, behind=0):
        """Return the revision that a reader so far behind sees."""
        return max(0, self.revision - min(behind, len(self._changes)))

    def compact(self):
        """Forget deletions: a watch since an earlier revision gets 410."""
        while self._changes:
            self._forget_oldest()

    def _forget_oldest(self):
        entry, _ = self._changes.popleft()
        self._oldest_since = entry.version
        if entry.deleted and self._entries.get(entry.key) is entry:
            del self._entries[entry.key]

    def _at(self, behind):
        if not behind:
            return self._entries
        entries = self._entries.copy()
        undone = list(self._changes)[-behind:]
        for entry, before in reversed(undone):
            if before is None:
                del entries[entry.key]
            else:
                entries[entry.key] = before
        return entries


def _with_prefix(entries, prefix):
    found = []
    for key in entries.irange(minimum=prefix):
        if not key.startswith(prefix):
            break
        found.append(entries[key])
    return found
