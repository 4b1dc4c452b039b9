"""Which entry of a backend server is current, and what changed since when.

Entries come from lists of the store and from the leader, which may overtake
each other. The revision tells the newer one, also across a restore of the
store. The copy that it comes back from may still be older than what is known:
what a server's process can not take back stays in force.
"""

import itertools
import logging
import math

from wagtailtide_gateway.control import store_era

LOG = logging.getLogger(__name__)

# Seconds for which the entry of a removed server is ignored after the store
# was restored. Without its process, an entry lapses after three heartbeats.
RESTORED_ENTRY_S = 4.0

# Seconds for which a server whose entry was removed is remembered: the entry
# of a running process may lapse and come back.
REMOVED_TTL_S = 60.0


class ServerEntries:
    """Revisions and changes of the entries that one instance knows.

    Attributes:
        last_change: Number of the last change of an entry, other than of its
            models.
        era: Era of the newest entry or list, None before the first one.
    """

    def __init__(self):
        self._revisions = {}
        self._list_revision = -math.inf
        self._numbers = itertools.count(1)
        self._changes = {}
        self._removed = {}
        self._era_began_at = -math.inf
        self.last_change = 0
        self.era = None

    def begins_era(self, revision, now):
        """Return whether a revision is the first one after a restore.

        Args:
            revision: Revision of an entry or of a list.
            now: Time in seconds.
        """
        era = store_era.era_of(revision)
        if self.era is None:
            self.era = era
        if era <= self.era:
            return False
        self.era, self._era_began_at = era, now
        return True

    def is_outdated_list(self, revision):
        """Return whether a list is older than one that was applied."""
        return revision < self._list_revision

    def is_outdated(self, obj):
        """Return whether a later revision of an entry is known.

        Args:
            obj: StoredObject of the entry. If it is not known, it was removed
                before the last list, if that is newer.
        """
        known = self._revisions.get(obj.name, self._list_revision)
        return obj.revision < known

    def note(self, obj):
        """Record an entry; return whether its revision is new."""
        is_new = obj.revision != self._revisions.get(obj.name)
        self._revisions[obj.name] = obj.revision
        return is_new

    def note_list(self, revision, names):
        """Record a list.

        Args:
            revision: Its revision.
            names: Names of all entries in it.
        """
        self._list_revision = max(revision, self._list_revision)
        for name in self._revisions.keys() - names:
            # The entry was removed, so its earlier revisions are out of date.
            del self._revisions[name]

    def change(self, name, obj):
        """Number a change of an entry.

        Args:
            name: Name of the entry.
            obj: StoredObject of the entry, None if it was removed.
        """
        self.last_change = next(self._numbers)
        self._changes[name] = (self.last_change, obj)

    def refresh(self, obj):
        """Replace an entry whose change does not concern other instances.

        They ignore revisions that are older than their own lists.
        """
        number, _ = self._changes[obj.name]
        self._changes[obj.name] = (number, obj)

    def latest(self, name):
        """Return the StoredObject of an entry, None if it was removed."""
        return self._changes[name][1]

    def changed_since(self, number):
        """Return the entries that changed, None for removed ones, by name."""
        return {
            name: obj
            for name, (change, obj) in self._changes.items()
            if change > number
        }

    def note_removed(self, state, now):
        """Record that the entry of a server was removed.

        Args:
            state: Its ServerState.
            now: Time in seconds.
        """
        self._removed[state.server.id] = (state, now, self.era)

    def is_brought_back(self, server, now):
        """Return whether only the restored copy has the entry of a server.

        Args:
            server: The BackendServer, which is not listed.
            now: Time in seconds.
        """
        state, _, era = self._removed.get(server.id, (None, None, self.era))
        if era == self.era or now - self._era_began_at >= RESTORED_ENTRY_S:
            return False
        return _start_of(server) <= _start_of(state.server)

    def take_removed(self, server, now):
        """Return the state of a process whose entry was away, or None.

        Args:
            server: The BackendServer in its entry.
            now: Time in seconds.
        """
        self._removed = {
            server_id: (state, removed_at, era)
            for server_id, (state, removed_at, era) in self._removed.items()
            if now - removed_at <= REMOVED_TTL_S
        }
        state, *_ = self._removed.pop(server.id, (None,))
        if state is None or _start_of(state.server) != _start_of(server):
            return None
        return state


def _start_of(server):
    return server.residency.process_start_ms
