"""Members of the fleet as one instance sees them."""

import dataclasses
import enum

SUSPICION_TIMEOUT_S = 3.0
REMOVE_AFTER_S = 60.0


class State(enum.IntEnum):
    """States of a member; within one incarnation the highest wins."""

    LIVE = 0
    LEAVING = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


PRESENT = frozenset((State.LIVE, State.LEAVING, State.SUSPECT))


@dataclasses.dataclass(frozen=True)
class Member:
    """What is known about a member.

    Attributes:
        name: Name of the instance.
        address: ``ip:port`` for peers.
        zone: Availability zone.
        region: Region.
        incarnation: Number that the member raises to refute that it is
            suspect or failed.
        state: State.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
    state: State = State.LIVE

    @property
    def order(self):
        """Key that orders updates about a member; the highest wins."""
        return (self.incarnation, int(self.state))

    @property
    def present(self):
        """Whether other members keep links to it."""
        return self.state in PRESENT


@dataclasses.dataclass
class _Entry:
    member: Member
    since: float


class MemberView:
    """State of all members, merged from the updates about them.

    Attributes:
        local_member: This instance as a member.
    """

    def __init__(self, local_member, now):
        self.local_member = local_member
        self._entries = {local_member.name: _Entry(local_member, now)}
        self._listed_names = None

    def __iter__(self):
        return iter([entry.member for entry in self._entries.values()])

    def get(self, name):
        """Return a member, or None."""
        entry = self._entries.get(name)
        return entry.member if entry else None

    def peers(self):
        """Return the other members to which links are kept, by name."""
        return {
            member.name: member
            for member in self
            if member.present and member.name != self.local_member.name
        }

    def live(self):
        """Return the live members, this one included, by name."""
        return {m.name: m for m in self if m.state == State.LIVE}

    def failed(self):
        """Return the failed members."""
        return [m for m in self if m.state == State.FAILED]

    def zones(self):
        """Return the zones of all members that have not left.

        Failed members are included: one that is only cut off may still reach
        the store, so its zone counts in the decision to trust keys.
        """
        return {m.zone for m in self if m.state != State.LEFT}

    def merge(self, member, now, age_s=0.0):
        """Apply an update about a member if it overrides what is known.

        Args:
            member: Member in the state that the update reports.
            now: Current time in seconds.
            age_s: Age of the update in seconds.

        Returns:
            Whether anything changed. An update that overrides the state of
            this instance is refuted instead: `local_member` gets a higher
            incarnation, and the caller has to send it to the peers.
        """
        if member.name == self.local_member.name:
            return self._refute(member, now)
        entry = self._entries.get(member.name)
        if entry is None and not member.present and age_s >= REMOVE_AFTER_S:
            # A peer that removes it later must not bring it back.
            return False
        if entry is not None and member.order <= entry.member.order:
            return False
        self._entries[member.name] = _Entry(member, now - age_s)
        return True

    def suspect(self, name, now):
        """Mark a live member as suspect; return the member or None."""
        return self._raise_state(name, State.SUSPECT, now)

    def set_own_state(self, state, now):
        """Change this instance's state, for example to LEAVING."""
        self.local_member = dataclasses.replace(self.local_member, state=state)
        self._entries[self.local_member.name] = _Entry(self.local_member, now)

    def tick(self, now):
        """Mark suspects as failed and remove members that are gone.

        Args:
            now: Current time in seconds.

        Returns:
            Members whose state changed.
        """
        changed = []
        for entry in list(self._entries.values()):
            member, age_s = entry.member, now - entry.since
            if member.state == State.SUSPECT and age_s >= SUSPICION_TIMEOUT_S:
                changed.append(
                    self._raise_state(member.name, State.FAILED, now)
                )
            elif self._may_be_removed(member) and age_s >= REMOVE_AFTER_S:
                del self._entries[member.name]
        return changed

    def set_listed_names(self, listed_names):
        """Record the names in the list of instances that was just read."""
        self._listed_names = frozenset(listed_names)

    def clear_listed_names(self):
        """Record that the list of instances cannot be read.

        Until it is read again, failed members are not removed.
        """
        self._listed_names = None

    def _may_be_removed(self, member):
        if member.state == State.LEFT:
            return True
        if member.state != State.FAILED or self._listed_names is None:
            return False
        return member.name not in self._listed_names

    def _raise_state(self, name, state, now):
        entry = self._entries.get(name)
        if entry is None or entry.member.state >= state:
            return None
        entry.member = dataclasses.replace(entry.member, state=state)
        entry.since = now
        return entry.member

    def _refute(self, member, now):
        if member.order <= self.local_member.order:
            return False
        self.local_member = dataclasses.replace(
            self.local_member, incarnation=member.incarnation + 1
        )
        self._entries[self.local_member.name] = _Entry(self.local_member, now)
        return True
