"""Call counts, call budgets and backoff of the platform client."""

import collections
import enum

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 10.0
# The platform takes several hundred writes and about 2,000 reads a second from
# the whole fleet; each instance may make its part of it.
FLEET_WRITES_PER_S = 300.0
FLEET_READS_PER_S = 1500.0
# Least rates, at the largest fleet and before the members are known.
WRITES_PER_S = 1.0
READS_PER_S = 4.0
# Allows a start or a recovery to make its first calls without waiting.
BURST_S = 10.0
# Claims keep callers waiting, so they go on until background work that backs
# off has not been enough.
REFUSALS_BEFORE_CLAIMS_WAIT = 3


class Activity(enum.StrEnum):
    """What a call is made for; bounded, used as a metrics label."""

    CONFIG = 'config'
    LISTS = 'lists'
    SESSION = 'session'
    ROSTER = 'roster'
    OWNERSHIP = 'ownership'
    PLACEMENT = 'placement'
    CLAIMS = 'claims'
    OTHER = 'other'


class Backoff:
    """Delays with full jitter that double after each failure."""

    def __init__(self, rng, minimum_s=BACKOFF_MIN_S, maximum_s=BACKOFF_MAX_S):
        self._rng = rng
        self._minimum_s = minimum_s
        self._maximum_s = maximum_s
        self.failures = 0

    def delay_s(self):
        """Count a failure and return the delay before the next try."""
        self.failures += 1
        # The exponent is capped, because failures may go on for days.
        ceiling = self._minimum_s * 2 ** min(self.failures, 16)
        return self._rng.uniform(0, min(ceiling, self._maximum_s))

    def reset(self):
        """Forget earlier failures after a success."""
        self.failures = 0


class CallRate:
    """Token bucket that returns how long a call has to wait."""

    def __init__(self, per_s, burst_s=BURST_S):
        self._per_s = per_s
        self._burst = per_s * burst_s
        self._level = self._burst
        self._at = None

    def reserve(self, now):
        """Reserve one call.

        Args:
            now: Current time in seconds.

        Returns:
            Seconds to wait before the call is made.
        """
        if self._at is not None:
            earned = (now - self._at) * self._per_s
            self._level = min(self._burst, self._level + earned)
        self._at = now
        self._level -= 1
        return max(0.0, -self._level / self._per_s)

    def resize(self, per_s, burst_s=BURST_S):
        """Change the rate; the level is kept up to the new burst."""
        self._per_s = per_s
        self._burst = per_s * burst_s
        self._level = min(self._burst, self._level)

    def give_back(self):
        """Return a reservation whose call is not made."""
        self._level = min(self._burst, self._level + 1)


class Budget:
    """Budget of one instance's platform calls.

    Attributes:
        calls: Number of calls by ``(activity, 'read' or 'write')``.
        refused: Number of 429 answers by activity.
    """

    def __init__(
        self, rng, writes_per_s=WRITES_PER_S, reads_per_s=READS_PER_S
    ):
        self.calls = collections.Counter()
        self.refused = collections.Counter()
        self._writes = CallRate(writes_per_s)
        self._reads = CallRate(reads_per_s)
        self._backoff = Backoff(rng)
        self._background_from = 0.0
        self._claims_from = 0.0

    def set_fleet_size(self, members):
        """Divide the fleet's rates between its members."""
        members = max(1, members)
        writes = max(WRITES_PER_S, FLEET_WRITES_PER_S / members)
        reads = max(READS_PER_S, FLEET_READS_PER_S / members)
        self._writes.resize(writes)
        self._reads.resize(reads)

    def reserve(self, activity, is_write, now):
        """Count a call and return the seconds to wait before making it."""
        self.calls[activity, 'write' if is_write else 'read'] += 1
        rate = self._writes if is_write else self._reads
        claims = activity == Activity.CLAIMS
        start = self._claims_from if claims else self._background_from
        return max(rate.reserve(now), start - now)

    def give_back(self, is_write):
        """Return a reservation whose call is not made.

        Calls that are given up would otherwise add up to a wait that grows
        without bound while nothing is sent.
        """
        (self._writes if is_write else self._reads).give_back()

    def refuse(self, activity, now):
        """Record a 429 answer: background work waits first, then claims."""
        self.refused[activity] += 1
        delay = self._backoff.delay_s()
        self._background_from = max(self._background_from, now + delay)
        if self._backoff.failures >= REFUSALS_BEFORE_CLAIMS_WAIT:
            self._claims_from = max(self._claims_from, now + delay)

    def accept(self):
        """Record an answer other than 429."""
        self._backoff.reset()
