"""Limits of backend servers that hold for all instances together.

A server in need states in its responses how many requests a second it takes
from all instances. The leader grants permits within that limit, and an
instance sends a limited server one request for each permit. What it has not
used soon lapses, so that permits do not pile up.

While an instance hears no leader, it sends a limited server one request in
each of its turns. The turns of all instances are spread over time and add up
to a part of the limit, because a leader that the instance does not hear may
still grant all of it to others.

Servers that have just started are limited in the same way (`cold_servers`).
If both limits apply, the smaller one does.
"""

import collections
import dataclasses
import random

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

    Attributes:
        statement: The newest Statement known.
        cold: ColdStart of the server.
        waiting: Number of requests of this instance that wait for a permit.
        others_waiting: Number of requests of other instances that wait for
            one, from the last update.
    """

    def __init__(self, cold=None):
        self.statement = NO_STATEMENT
        self.cold = cold or cold_servers.ColdStart()
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
        cold_per_s = self.cold.per_s(now)
        if cold_per_s is None or self.per_s is None:
            return self.per_s if cold_per_s is None else cold_per_s
        return min(cold_per_s, self.per_s)

    def queue_order(self, now):
        """Return a key that orders limited servers by their queues.

        First the seconds that the server takes for all waiting requests.
        Equal queues, such as empty ones, are in another order on each
        instance: otherwise all would wait for the same server.
        """
        per_s = self.present_per_s(now)
        waiting = self.waiting + self.others_waiting
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
        if self.per_s is not None:
            rates.append(1.0 / self._cycle_s(instances))
        if self.cold.is_limited(now):
            rates.append(self.cold.turns_per_s(instances))
        return min(rates)

    def allows(self, instances, now):
        """Return whether a request may be sent to the server now.

        Args:
            instances: As for `usable_per_s`.
            now: Time in seconds.
        """
        has_permit = any(expires_at > now for expires_at in self._expiries)
        if has_permit or instances is None:
            return has_permit
        if self.cold.is_limited(now) and not self.cold.is_turn(instances, now):
            return False
        return self.per_s is None or self._is_turn(instances, now)

    def record_request(self, now):
        """Use a permit or the present turn for a request."""
        self._drop_expired(now)
        if self._expiries:
            self._expiries.popleft()
        else:
            self._sent_in_turn_at = now
            self.cold.record_turn(now)

    def _drop_expired(self, now):
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()

    def _cycle_s(self, instances):
        return instances / (self.per_s * LEADERLESS_PART)

    def _is_turn(self, instances, now):
        cycle_s = self._cycle_s(instances)
        in_cycle_s = (now + self._phase * cycle_s) % cycle_s
        started_at = now - in_cycle_s
        return in_cycle_s < TURN_S and self._sent_in_turn_at < started_at


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
