"""Call counts, call budgets and backoff of the platform client."""

import collections
import enum

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 10.0
# The platform accepts several hundred writes and about 2,000 reads a second
# from the whole fleet; the instances divide these rates evenly.
FLEET_WRITES_PER_S = 300.0
FLEET_READS_PER_S = 1500.0
# Minimum rates of an instance, used in a very large fleet and before the
# members are known.
MIN_WRITES_PER_S = 1.0
MIN_READS_PER_S = 4.0
# Lets an instance make the first calls of a start or recovery without waiting.
BURST_S = 10.0
# Callers wait for claims, so claims are delayed only if backing off background
# work was not enough.
REFUSALS_BEFORE_CLAIMS_WAIT = 3


class Activity(enum.StrEnum):
    """Purpose of a call.

    A closed set, because its values are keys of counters in the process.
    """

    CONFIG = 'config'
    LISTS = 'lists'
    SESSION = 'session'
    ROSTER = 'roster'
    OWNERSHIP = 'ownership'
    PLACEMENT = 'placement'
    CLAIMS = 'claims'
    OTHER = 'other'


class Backoff:
    """Delays with full jitter whose limit doubles after each failure."""

    def __init__(self, rng, minimum_s=BACKOFF_MIN_S, maximum_s=BACKOFF_MAX_S):
        self._rng = rng
        self._minimum_s = minimum_s
        self._maximum_s = maximum_s
        self.failures = 0

    def next_delay_s(self):
        """Count a failure and return the seconds to wait before a retry."""
        self.failures += 1
        # The exponent is limited because failures may continue for days.
        ceiling = self._minimum_s * 2 ** min(self.failures, 16)
        return self._rng.uniform(0, min(ceiling, self._maximum_s))

    def reset(self):
        """Clear the count of failures after a success."""
        self.failures = 0


class TokenBucket:
    """Token bucket whose reservations tell how long a call has to wait."""

    def __init__(self, rate_per_s, burst_s=BURST_S):
        self._rate_per_s = rate_per_s
        self._capacity = rate_per_s * burst_s
        self._tokens = self._capacity
        self._refilled_at = None

    def reserve(self, now):
        """Reserve one call.

        Args:
            now: Current time in seconds.

        Returns:
            Seconds to wait before the call is made.
        """
        if self._refilled_at is not None:
            refilled = (now - self._refilled_at) * self._rate_per_s
            self._tokens = min(self._capacity, self._tokens + refilled)
        self._refilled_at = now
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate_per_s)

    def resize(self, rate_per_s, burst_s=BURST_S):
        """Change the rate; the tokens are kept up to the new capacity."""
        self._rate_per_s = rate_per_s
        self._capacity = rate_per_s * burst_s
        self._tokens = min(self._capacity, self._tokens)

    def cancel_reservation(self):
        """Return a reservation whose call is not made."""
        self._tokens = min(self._capacity, self._tokens + 1)


class CallBudget:
    """Rate limits and backoff of one instance's platform calls.

    Attributes:
        calls: Number of calls by ``(activity, 'read' or 'write')``.
        rate_limited: Number of 429 responses by activity.
    """

    def __init__(
        self, rng, writes_per_s=MIN_WRITES_PER_S, reads_per_s=MIN_READS_PER_S
    ):
        self.calls = collections.Counter()
        self.rate_limited = collections.Counter()
        self._writes = TokenBucket(writes_per_s)
        self._reads = TokenBucket(reads_per_s)
        self._backoff = Backoff(rng)
        self._background_not_before = 0.0
        self._claims_not_before = 0.0

    def set_fleet_size(self, members):
        """Set the rates to this instance's part of the fleet's rates.

        Args:
            members: Number of live instances.
        """
        members = max(1, members)
        writes = max(MIN_WRITES_PER_S, FLEET_WRITES_PER_S / members)
        reads = max(MIN_READS_PER_S, FLEET_READS_PER_S / members)
        self._writes.resize(writes)
        self._reads.resize(reads)

    def reserve(self, activity, is_write, now):
        """Count a call and return the seconds to wait before making it."""
        self.calls[activity, 'write' if is_write else 'read'] += 1
        bucket = self._writes if is_write else self._reads
        is_claim = activity == Activity.CLAIMS
        not_before = (
            self._claims_not_before
            if is_claim
            else self._background_not_before
        )
        return max(bucket.reserve(now), not_before - now)

    def cancel_reservation(self, is_write):
        """Return a reservation whose call is not made.

        The reservations of abandoned calls would otherwise increase the wait
        without bound although nothing is sent.
        """
        (self._writes if is_write else self._reads).cancel_reservation()

    def record_rate_limited(self, activity, now):
        """Record a 429 response; background work backs off before claims."""
        self.rate_limited[activity] += 1
        delay = self._backoff.next_delay_s()
        self._background_not_before = max(
            self._background_not_before, now + delay
        )
        if self._backoff.failures >= REFUSALS_BEFORE_CLAIMS_WAIT:
            self._claims_not_before = max(self._claims_not_before, now + delay)

    def record_accepted(self):
        """Record a response other than 429."""
        self._backoff.reset()
