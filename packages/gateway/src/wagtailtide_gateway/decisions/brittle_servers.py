"""Slots of brittle servers, which fall over when they reject too much.

A brittle server falls over when it rejects more than a few requests in a
second for want of room, and the load of a fallen server topples the others.
How many may wait in it can shrink without notice, so only its slots count as
room. Loads are known too late for many instances to share slots by them:
while a service is brittle, a request needs a slot that the leader has granted.

The leader counts for each server what the instances say they use, and what it
has granted since. An instance that has more requests waiting keeps a slot that
becomes free, up to its fair share, so that slots in demand need no exchange.
Without a leader an instance goes on with the slots that it has for a moment,
and then sends in turns (`server_limits`), which use a part of them. A new
leader leaves that part to instances that it has not heard of.
"""

import dataclasses
import random

# Seconds for which a server's statement counts if it is not repeated, such as
# that of a server that has fallen over.
STATEMENT_TTL_S = 60.0

# An instance goes on with its slots for this many seconds without an update.
# The leader grants them to others a little later.
HOLD_S = 2.0
IN_USE_TTL_S = 2.5

# Part of the slots that instances without a leader use in turns, and that a
# new leader leaves to them for some seconds. All instances, which exchange in
# more than a second in a large fleet, report their slots meanwhile.
LEADERLESS_PART = 0.5
LEADERLESS_S = 2.0

# A server that has started while its service is brittle gets this share of its
# slots at first, and twice as much after each step.
FIRST_SHARE = 0.25
RAMP_STEP_S = 0.5

# A server that rejects has less room than it states. It gets this share of its
# slots less, once in a second, and one slot more after each recovery time.
REJECTION_SHARE = 0.1
REJECTION_INTERVAL_S = 1.0
RECOVERY_S = 5.0

# A kept slot is for the requests that wait as it becomes free. They check for
# it within this many seconds.
KEPT_SLOT_S = 0.1

# An instance sends nothing to a server for this many seconds after it was
# rejected: the others may have been as well.
REJECTED_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a server stated last of its brittleness.

    Attributes:
        tolerated: Rejections in a second that it bears, None if it does not
            state to be brittle.
        at: Time in seconds of the response.
    """

    tolerated: float | None
    at: float


def is_brittle(statements, last_stated_at, now):
    """Return whether the servers of a service count as brittle.

    All of them are brittle at the same time, but a process that has just
    started has not stated it yet, and all may have fallen over.

    Args:
        statements: Newest Statement of each server that has made one.
        last_stated_at: Time in seconds at which any of them, or one that is
            gone, last stated to be brittle.
        now: Time in seconds.
    """
    if now - last_stated_at > STATEMENT_TTL_S:
        return False
    if any(
        s.tolerated is not None and now - s.at <= STATEMENT_TTL_S
        for s in statements
    ):
        return True
    return not any(s.at > last_stated_at for s in statements)


class BrittleLimit:
    """Slots of one brittle server, as one instance uses them.

    Args:
        on_change: Function that is called with what the server states when
            that changes: the tolerated rejections, the time in seconds and
            where it is known from.

    Attributes:
        per_s: Requests a second that the server's slots can start, None while
            it is not brittle.
        statement: Newest Statement of the server, None without any.
        share: Number of slots that the instance may keep for its waiting
            requests. One more is kept with the probability of the fraction,
            so that all get slots in turn if there are less than instances.
        rejections: Number of rejections that were not reported yet.
    """

    def __init__(self, on_change=lambda tolerated, at, source: None):
        self._on_change = on_change
        self.per_s = None
        self._heard_at = float('-inf')
        self._rejected_at = float('-inf')
        self.statement = None
        self.share = 0.0
        self.rejections = 0

    def update(self, statement, source):
        """Apply a Statement if it is newer.

        Args:
            statement: The Statement.
            source: Id of the request whose response contained it, or where
                else it is known from.
        """
        previous = self.statement
        if previous is not None and statement.at <= previous.at:
            return
        self.statement = statement
        known = None if previous is None else previous.tolerated
        if statement.tolerated != known:
            self._on_change(statement.tolerated, statement.at, source)

    def note_share(self, share, now):
        """Apply the share in an update of the leader."""
        self.share, self._heard_at = share, now

    def note_rejected(self, now):
        """Record that the server rejected a request for want of room."""
        self._rejected_at = now
        self.rejections += 1

    def take_rejections(self):
        """Return the rejections that were not reported yet."""
        rejections, self.rejections = self.rejections, 0
        return rejections

    def is_paused(self, now):
        """Return whether nothing is sent because of a rejection."""
        return now - self._rejected_at < REJECTED_PAUSE_S

    def is_held(self, now):
        """Return whether the slots of this instance are still its own."""
        return now - self._heard_at < HOLD_S

    def allows_turn(self, slots, own_load, instances, now):
        """Return whether a request may be sent in a turn.

        Args:
            slots: Slots of the server.
            own_load: Requests of the instance in the server.
            instances: Number of instances that take turns.
            now: Time in seconds.
        """
        part = max(1, int(slots * LEADERLESS_PART / instances))
        return own_load < part and not self.is_held(now)

    @property
    def held_until(self):
        """Time in seconds until which the slots are its own."""
        return self._heard_at + HOLD_S

    def keeps_slot(self, in_use, now):
        """Return whether a slot that has become free is kept.

        Args:
            in_use: Slots that the instance uses, this one included.
            now: Time in seconds.
        """
        return (
            self.per_s is not None
            and in_use <= self.share + random.random()
            and self.is_held(now)
            and not self.is_paused(now)
        )


@dataclasses.dataclass
class _Slots:
    """Slots of one server's process, as the leader counts them."""

    process_start_ms: int
    service: str
    ramps: bool
    in_use: dict = dataclasses.field(default_factory=dict)
    first_granted_at: float | None = None
    missing: float = 0.0
    missing_at: float = float('-inf')


class SlotLedger:
    """The slots of brittle servers that instances use, kept by the leader.

    Args:
        term_started_at: Time in seconds at which the term began.
    """

    def __init__(self, term_started_at):
        self._term_started_at = term_started_at
        self._slots = {}

    @property
    def services(self):
        """Names of the services whose slots are counted."""
        return {found.service for found in self._slots.values()}

    def add(self, server, was_brittle):
        """Count the slots of a server.

        Args:
            server: The BackendServer.
            was_brittle: Whether its service was already brittle, so that a
                process which is new here has just started.
        """
        start_ms = server.residency.process_start_ms
        known = self._slots.get(server.id)
        if known is None or known.process_start_ms != start_ms:
            self._slots[server.id] = _Slots(
                start_ms, server.service, was_brittle
            )

    def retain(self, server_ids):
        """Drop all other servers."""
        for server_id in self._slots.keys() - server_ids:
            del self._slots[server_id]

    def note_report(self, server, instance, in_use, rejections, now):
        """Apply what an instance reports of a server.

        Args:
            server: The BackendServer, with the process that it reports of.
            instance: Name of the instance.
            in_use: Slots that it uses or has been granted.
            rejections: Rejections since its last report.
            now: Time in seconds.
        """
        found = self._slots.get(server.id)
        if found is None:
            return
        found.in_use[instance] = (in_use, now)
        if rejections and now - found.missing_at >= REJECTION_INTERVAL_S:
            missing = self._missing(found, now)
            found.missing = missing + max(1.0, REJECTION_SHARE * server.slots)
            found.missing_at = now

    def reporting(self, server_id):
        """Return the names of the instances that report their slots."""
        found = self._slots.get(server_id)
        return found.in_use.keys() if found is not None else ()

    def capacity(self, server_id, slots, now):
        """Return how many slots of a server may be in use.

        None are counted for a server that is not known.
        """
        found = self._slots.get(server_id)
        if found is None:
            return 0.0
        room = max(1.0, slots - self._missing(found, now))
        if found.ramps:
            since_s = 0.0
            if found.first_granted_at is not None:
                since_s = now - found.first_granted_at
            steps = min(since_s / RAMP_STEP_S, 10.0)
            room = min(room, max(1.0, FIRST_SHARE * slots) * 2.0**steps)
        return room

    def share(self, server_id, instance, slots, wanted, now):
        """Return how many slots an instance may keep, see `BrittleLimit`.

        Args:
            server_id: Id of the server.
            instance: Name of the instance.
            slots: Slots of the server.
            wanted: Number of slots that the waiting requests of each instance
                need, by its name.
            now: Time in seconds.
        """
        found = self._slots.get(server_id)
        if found is None:
            return 0.0
        capacity = self.capacity(server_id, slots, now)
        in_use = sum(count for count, _ in found.in_use.values())
        if in_use <= capacity and not wanted.keys() - {instance}:
            return float(slots)
        return self._fair_share(found, capacity, wanted)

    def _fair_share(self, found, capacity, wanted):
        users = {name for name, (count, _) in found.in_use.items() if count}
        return capacity / max(1, len(users | wanted.keys()))

    def grant(self, server_id, instance, slots, unreported, wanted, now):
        """Return the number of slots granted to an instance.

        Free slots that others are to have by their fair shares are left to
        them.

        Args:
            server_id: Id of the server.
            instance: Name of the instance.
            slots: Slots of the server.
            unreported: Requests in the server of instances that do not report
                their slots, as they do not know that it is brittle.
            wanted: As for `share`.
            now: Time in seconds.
        """
        found = self._slots.get(server_id)
        if found is None or instance not in found.in_use:
            return 0
        self._drop_silent(found, now)
        capacity = self.capacity(server_id, slots, now)
        if now - self._term_started_at < LEADERLESS_S:
            capacity *= 1.0 - LEADERLESS_PART
        free = capacity - unreported
        free -= sum(count for count, _ in found.in_use.values())
        share = max(1, int(self._fair_share(found, capacity, wanted)))
        own, _ = found.in_use[instance]
        left_to_others = sum(
            max(0, min(count, share - found.in_use.get(name, (0, now))[0]))
            for name, count in wanted.items()
            if name != instance
        )
        most = max(share - own, int(free - left_to_others))
        granted = max(0, min(wanted.get(instance, 0), most, int(free)))
        if granted:
            found.in_use[instance] = (own + granted, now)
            if found.first_granted_at is None:
                found.first_granted_at = now
        return granted

    def _missing(self, found, now):
        recovered = (now - found.missing_at) / RECOVERY_S
        return max(0.0, found.missing - recovered)

    def _drop_silent(self, found, now):
        for name, (_, reported_at) in list(found.in_use.items()):
            if now - reported_at > IN_USE_TTL_S:
                del found.in_use[name]
