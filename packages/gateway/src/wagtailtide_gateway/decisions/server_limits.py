"""Limits of backend servers that hold for all instances together.

A server in need states in its responses how many requests a second it takes
from all instances. The leader grants permits within that limit, and an
instance sends a limited server one request for each permit. What it has not
used soon lapses, so that permits do not pile up.

While an instance hears no leader, it sends a limited server one request in
each of its turns. The turns of all instances are spread over time and add up
to a part of the limit, because a leader that the instance does not hear may
still grant all of it to others.

Servers that have just started are limited in the same way (`cold_servers`),
and so are brittle ones (`brittle_servers`), whose permits are for slots. The
smallest of the limits applies.
"""

import collections
import dataclasses
import random

from wagtailtide_gateway.decisions import brittle_servers
from wagtailtide_gateway.decisions import cold_servers

# A permit lapses after this many seconds. It covers a round trip to a slow
# leader and the time until a waiting request is woken.
PERMIT_TTL_S = 1.0

# Permits that the leader grants at once after a pause: those of some time, but
# a few at least, so that a request rarely waits for a server that is idle. A
# server gets at most these and the permits of t + PERMIT_TTL_S in t seconds.
MAX_UNUSED_S = 0.5
MIN_BURST = 2.0

# A bucket of a server that states no limit is kept for this many seconds after
# its last use. Permits for cold servers are requested more often than that.
BUCKET_TTL_S = 5.0

# Seconds after which permits that were not granted are requested again.
REQUEST_INTERVAL_S = 0.25

# Part of a limit that all instances use without a leader.
LEADERLESS_PART = 0.5

# Length in seconds of the turns in which an instance without a leader sends.
TURN_S = 1.0

# A server that states a lower limit, such as zero, still gets this many
# requests a second. Its responses to them show when the limit is lifted.
MIN_PER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """A server's statement of its limit.

    Attributes:
        per_s: Requests a second that it takes from all instances, None if it
            states no limit.
        at: Time in seconds of the response that contained it.
    """

    per_s: float | None
    at: float


NO_STATEMENT = Statement(None, float('-inf'))


class ServerLimit:
    """Limit of one server, with the permits of this instance.

    Args:
        cold: ColdStart of the server, None if it is never cold.
        brittle: BrittleLimit of the server, None if it is never brittle.

    Attributes:
        statement: The newest Statement known.
        cold: ColdStart of the server.
        brittle: BrittleLimit of the server.
        waiting: Number of requests of this instance that wait for a permit.
        others_waiting: Number of requests of other instances that wait for
            one, from the last update.
    """

    def __init__(self, cold=None, brittle=None):
        self.statement = NO_STATEMENT
        self.cold = cold or cold_servers.ColdStart()
        self.brittle = brittle or brittle_servers.BrittleLimit()
        self.waiting = 0
        self.others_waiting = 0
        self._expiries = collections.deque()
        self._phase = random.random()
        self._sent_in_turn_at = float('-inf')
        self._requested_at = float('-inf')

    @property
    def per_s(self):
        """Requests a second that it states, None if it states no limit."""
        if self.statement.per_s is None:
            return None
        return max(self.statement.per_s, MIN_PER_S)

    def present_per_s(self, now):
        """Return the requests a second for all instances, None for any."""
        per_s = (
            self.per_s
            if self.brittle.per_s is None
            else (self._per_s_in_turns)
        )
        return _min(self.cold.per_s(now), per_s)

    @property
    def _per_s_in_turns(self):
        """Requests a second without a cold period, None for any."""
        return _min(self.per_s, self.brittle.per_s)

    def queue_order(self, now, free_slots=0.0):
        """Return a key that orders limited servers by their queues.

        First the seconds that the server takes for all waiting requests.
        Equal queues, such as empty ones, are in another order on each
        instance: otherwise all would wait for the same server.

        Args:
            now: Time in seconds.
            free_slots: Slots of the server that are free, as far as known.
        """
        per_s = self.present_per_s(now)
        waiting = self.waiting + self.others_waiting
        if self.brittle.per_s is not None:
            waiting -= free_slots
        return (waiting / per_s if per_s else 0.0, self._phase)

    def update(self, statement):
        """Apply a Statement if it is newer; return whether the limit changed.

        Permits that were granted under a higher limit are dropped.
        """
        if statement.at <= self.statement.at:
            return False
        previous, self.statement = self.statement.per_s, statement
        if statement.per_s is None:
            self.others_waiting = 0
        if statement.per_s is None or (
            previous is not None and statement.per_s < previous
        ):
            self._expiries.clear()
        return statement.per_s != previous

    def drop_permits(self):
        """Drop all permits, as they were granted under a higher limit."""
        self._expiries.clear()

    def add_permits(self, count, requested_at):
        """Add permits that were requested at a time in seconds."""
        ttl_s = PERMIT_TTL_S
        if self.cold.is_limited(requested_at):
            ttl_s = cold_servers.PERMIT_TTL_S
        expires_at = requested_at + ttl_s
        self._expiries.extend([expires_at] * count)
        if self.brittle.per_s is not None:
            # The next request need not wait until slots are asked for again.
            self._requested_at = float('-inf')

    def start_permit_request(self, now):
        """Return whether permits should be requested again now."""
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return False
        self._requested_at = now
        return True

    def missing_permits(self, now):
        """Return how many more permits the waiting requests need."""
        self._drop_expired(now)
        return max(0, self.waiting - len(self._expiries))

    def usable_per_s(self, instances, now):
        """Return the requests a second of which this instance has a part.

        Args:
            instances: Number of instances that share the limit by turns, None
                while the leader grants permits.
            now: Time in seconds.
        """
        if instances is None:
            return self.present_per_s(now)
        rates = []
        if self._per_s_in_turns is not None:
            rates.append(1.0 / self._cycle_s(instances))
        if self.cold.is_limited(now):
            rates.append(self.cold.turns_per_s(instances))
        return min(rates)

    def allows(self, instances, now, slots=1, own_load=0):
        """Return whether a request may be sent to the server now.

        Args:
            instances: As for `usable_per_s`.
            now: Time in seconds.
            slots: Slots of the server.
            own_load: Requests of this instance in it.
        """
        is_brittle = self.brittle.per_s is not None
        if is_brittle and self.brittle.is_paused(now):
            return False
        has_permit = any(expires_at > now for expires_at in self._expiries)
        if has_permit or instances is None:
            return has_permit
        if is_brittle and not self.brittle.allows_turn(
            slots, own_load, instances, now
        ):
            return False
        if self.cold.is_limited(now) and not self.cold.is_turn(instances, now):
            return False
        return self._per_s_in_turns is None or self._is_turn(instances, now)

    def record_request(self, now):
        """Use a permit or the present turn for a request."""
        self._drop_expired(now)
        if self._expiries:
            self._expiries.popleft()
        else:
            self._sent_in_turn_at = now
            self.cold.record_turn(now)

    def slots_in_use(self, own_load, now):
        """Return the slots that requests use or that have been granted.

        Args:
            own_load: Number of requests of this instance in the server.
            now: Time in seconds.
        """
        self._drop_expired(now)
        return own_load + len(self._expiries)

    def record_end(self, own_load, has_waiting, now):
        """Record the end of a request.

        Its slot at a brittle server is kept for one that waits and can use it.

        Args:
            own_load: As for `slots_in_use`, without this request.
            has_waiting: Whether requests for the service wait here.
            now: Time in seconds.

        Returns:
            Whether others wait for the slot, and should get it soon.
        """
        if self.brittle.per_s is None:
            return False
        in_use = self.slots_in_use(own_load, now) + 1
        if has_waiting and self.brittle.keeps_slot(in_use, now):
            self._expiries.appendleft(now + brittle_servers.KEPT_SLOT_S)
            return False
        return self.others_waiting > 0

    def _drop_expired(self, now):
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()

    def _cycle_s(self, instances):
        return instances / (self._per_s_in_turns * LEADERLESS_PART)

    def _is_turn(self, instances, now):
        cycle_s = self._cycle_s(instances)
        in_cycle_s = (now + self._phase * cycle_s) % cycle_s
        started_at = now - in_cycle_s
        # The turns of all instances do not begin together as their slots end.
        last_at = max(self._sent_in_turn_at, self.brittle.held_until)
        return in_cycle_s < TURN_S and last_at < started_at


def _min(limit, other):
    """Return the smaller one of two limits, None if there is neither."""
    if limit is None or other is None:
        return other if limit is None else limit
    return min(limit, other)


@dataclasses.dataclass
class _Bucket:
    level: float
    updated_at: float


class PermitBuckets:
    """Permits that the leader may grant, by server.

    A bucket is empty at first: the previous leader may just have granted
    permits, and other requests may be on their way to the server.
    """

    def __init__(self):
        self._buckets = {}

    def grant(self, server_id, per_s, wanted, now, max_burst=None):
        """Return the number of permits granted.

        Args:
            server_id: Id of the server.
            per_s: Its limit in requests a second.
            wanted: Number of permits wanted.
            now: Time in seconds.
            max_burst: Largest number granted at once, None for the usual one.
        """
        bucket = self._buckets.setdefault(server_id, _Bucket(0.0, now))
        added = max(per_s, MIN_PER_S) * (now - bucket.updated_at)
        burst = max(MIN_BURST, per_s * MAX_UNUSED_S)
        if max_burst is not None:
            burst = min(burst, max_burst)
        bucket.level = min(bucket.level + added, burst)
        bucket.updated_at = now
        granted = min(wanted, int(bucket.level))
        bucket.level -= granted
        return granted

    def retain(self, server_ids, now):
        """Drop the buckets of other servers that were not used lately.

        Args:
            server_ids: Ids of the servers that state a limit.
            now: Time in seconds.
        """
        for server_id in self._buckets.keys() - server_ids:
            if now - self._buckets[server_id].updated_at > BUCKET_TTL_S:
                del self._buckets[server_id]
