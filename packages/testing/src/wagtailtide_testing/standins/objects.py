"""Versioned objects with conditional updates and a global revision."""

import collections
import dataclasses

import sortedcontainers

# Limits how far back a stale read can go, and for how many revisions a watch
# can still report deletions.
MAX_CHANGES = 1_000


@dataclasses.dataclass(frozen=True)
class Entry:
    """Version of an object; a deletion has no value."""

    key: str
    version: int
    value: bytes | None

    @property
    def deleted(self):
        """Whether this version is a deletion."""
        return self.value is None


class Conflict(Exception):
    """Raised if the expected version is not the current one."""


class RevisionTooOld(Exception):
    """Raised if a watch starts at a revision that was compacted."""


class ObjectStore:
    """Versioned objects in memory.

    Reads take an argument `stale_revisions`: the number of latest revisions
    that a stale read does not see.

    Attributes:
        revision: Version of the latest change.
    """

    def __init__(self):
        self.revision = 0
        self._entries = sortedcontainers.SortedDict()
        # Pairs of the new entry and the replaced one or None, oldest first.
        self._changes = collections.deque()
        self._oldest_revision = 0

    def write(self, key, value, expected):
        """Write or delete an object.

        Args:
            key: Key of the object.
            value: New value, or None to delete the object.
            expected: Expected current version, or None if the object must
                not exist.

        Returns:
            The new version.

        Raises:
            Conflict: The current version is not the expected one.
        """
        previous = self._entries.get(key)
        current = previous if previous and not previous.deleted else None
        if expected != (current.version if current else None):
            raise Conflict(key)
        self.revision += 1
        entry = Entry(key, self.revision, value)
        self._entries[key] = entry
        self._changes.append((entry, previous))
        if len(self._changes) > MAX_CHANGES:
            self._drop_oldest_change()
        return self.revision

    def get(self, key, stale_revisions=0):
        """Return the entry, or None if there is none or it was deleted."""
        entry = self._entries_at(stale_revisions).get(key)
        return None if entry is None or entry.deleted else entry

    def list(self, prefix, stale_revisions=0):
        """Return existing entries with a key prefix, and the revision."""
        found = _with_prefix(self._entries_at(stale_revisions), prefix)
        return [e for e in found if not e.deleted], self.visible_revision(
            stale_revisions
        )

    def changed_since(self, prefix, since, stale_revisions=0):
        """Return entries changed after a revision, and the revision.

        Deletions are included.

        Raises:
            RevisionTooOld: Deletions since that revision have been compacted.
        """
        if since < self._oldest_revision:
            raise RevisionTooOld(since)
        found = _with_prefix(self._entries_at(stale_revisions), prefix)
        return [e for e in found if e.version > since], self.visible_revision(
            stale_revisions
        )

    def visible_revision(self, stale_revisions=0):
        """Return the revision that a stale read sees."""
        return max(0, self.revision - min(stale_revisions, len(self._changes)))

    def compact(self):
        """Drop all recorded changes.

        A watch from an earlier revision is then answered with status 410.
        """
        while self._changes:
            self._drop_oldest_change()

    def _drop_oldest_change(self):
        entry, _ = self._changes.popleft()
        self._oldest_revision = entry.version
        if entry.deleted and self._entries.get(entry.key) is entry:
            del self._entries[entry.key]

    def _entries_at(self, stale_revisions):
        if not stale_revisions:
            return self._entries
        entries = self._entries.copy()
        reverted = list(self._changes)[-stale_revisions:]
        for entry, previous in reversed(reverted):
            if previous is None:
                del entries[entry.key]
            else:
                entries[entry.key] = previous
        return entries


def _with_prefix(entries, prefix):
    found = []
    for key in entries.irange(minimum=prefix):
        if not key.startswith(prefix):
            break
        found.append(entries[key])
    return found
