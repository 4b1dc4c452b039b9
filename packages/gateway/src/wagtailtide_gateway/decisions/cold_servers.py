"""Limits of backend servers that have just started.

A cold server crashes if it gets many more requests than it states, from all
instances together. Its limit is kept by the permits and turns of
`server_limits`, with smaller numbers, because it holds in any one second
instead of on average.

The bound of one second is divided: LEADER_SHARE for permits, the rest for the
turns of instances that hear no leader, because a leader that these do not hear
may grant all of its share to the others.
"""

from collections.abc import Callable
import dataclasses
import functools
import random

# Share of the bound that permits may use. Turns start at random times, so
# they get a rate whose usual peaks stay within the rest.
LEADER_SHARE = 0.75
TURNS_PEAK_FACTOR = 3.0

# A permit for a cold server lapses after this many seconds.
PERMIT_TTL_S = 0.5

# Seconds by which the time from a permit to the arrival at the server differs
# between requests: a new connection, a process that was held up.
ARRIVAL_JITTER_S = 0.25

# Permits that the leader grants at once after a pause, at most.
MAX_BURST = 2.0

# A lower bound still lets this many requests a second through.
MIN_PER_S = 0.2

# Length in seconds of a turn. Waiting requests check each 0.25 s.
TURN_S = 0.3

# Least number of instances that turns are divided among. An instance that has
# heard no leader, or only a new one, knows too low a number.
MIN_INSTANCES = 32

# After the cold period all instances see an empty server at once. The rate of
# permits doubles in each step of the ramp, then the limit ends.
RAMP_S = 2.0
RAMP_STEP_S = 0.5

# A longer cold period than this is taken for a mistake, in seconds.
MAX_COLD_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRule:
    """How the cold servers of a service may be used.

    Attributes:
        start_s: Seconds for which a server is cold after its process starts.
        max_in_1_s: Most requests that a cold server may get in any second.
        permits_per_s: Permits a second that the leader grants for a server.
        burst: Permits that it grants at once after a pause.
        turns_per_s: Requests a second of all instances without a leader.
    """

    start_s: float
    max_in_1_s: float
    permits_per_s: float
    burst: float
    turns_per_s: float


def make_rule(start_s, per_s, overage, slack):
    """Return the ColdRule of a service, None if it has no cold servers.

    Args:
        start_s: Seconds for which a server is cold.
        per_s: Requests a second that a cold server takes, 0 for no limit.
        overage: Factor by which more is still allowed in any second, or None.
        slack: Number of requests that are allowed beyond it, or None.
    """
    if not per_s or overage is None or slack is None:
        return None
    max_in_1_s = per_s * overage + slack
    for_permits = LEADER_SHARE * max_in_1_s
    burst = min(MAX_BURST, max(1.0, for_permits / 2.0))
    # In one second arrive at most the permits of the second, of their
    # lifetime before it and of the jitter, and a burst.
    span_s = 1.0 + PERMIT_TTL_S + ARRIVAL_JITTER_S
    permits_per_s = (for_permits - burst) / span_s
    turns_per_s = (1.0 - LEADER_SHARE) * max_in_1_s / TURNS_PEAK_FACTOR
    return ColdRule(
        start_s,
        max_in_1_s,
        max(min(permits_per_s, per_s), MIN_PER_S),
        burst,
        max(turns_per_s, MIN_PER_S),
    )


class ColdStart:
    """Cold period of one server, as this instance knows it.

    The end of a period is never brought forward: statements arrive late and
    out of order, and each of them ends no earlier than the period itself.

    Args:
        rule_of: Function that returns the ColdRule in force, or None.

    Attributes:
        own_until: Time in seconds until which the server itself stated that
            it is cold, in its entry or in a response to this instance.
    """

    def __init__(self, rule_of: Callable = lambda: None):
        self._rule_of = rule_of
        self._since = float('-inf')
        self._sent_at = float('-inf')
        self._until = float('-inf')
        self.own_until = float('-inf')

    @functools.cached_property
    def _phase(self):
        """Random place of the turns of this instance; few servers need one."""
        return random.random()

    @property
    def ends_at(self):
        """Time in seconds at which the limit ends."""
        return self._until + RAMP_S

    @property
    def opens_at(self):
        """Time in seconds from which the ramp allows much of the capacity."""
        return self._until + RAMP_S / 2.0

    @property
    def rule(self):
        """The ColdRule in force, or None."""
        return self._rule_of()

    def began_since(self, at, now):
        """Return whether the present cold period began after a time.

        Args:
            at: The time in seconds.
            now: Time in seconds.
        """
        return self._since > at and self.is_limited(now)

    def is_limited(self, now):
        """Return whether the server is cold or in the ramp after that."""
        return now < self.ends_at and self.rule is not None

    def per_s(self, now):
        """Return the requests a second by permits, None without a limit."""
        if now >= self.ends_at:
            return None
        rule = self.rule
        if rule is None:
            return None
        steps = max(0.0, now - self._until) / RAMP_STEP_S
        return rule.permits_per_s * 2.0**steps

    def note_stated(self, remaining_s, now):
        """Record that the server states how long it is still cold.

        Args:
            remaining_s: The time in seconds.
            now: Time in seconds.

        Returns:
            Whether a cold period began.
        """
        self.own_until = max(self.own_until, now + remaining_s)
        return self.note_until(self.own_until, now)

    def note_started(self, now):
        """Record that a process started that states no cold period."""
        rule = self.rule
        start_s = rule.start_s if rule is not None else 0.0
        return self.note_stated(start_s, now)

    def note_suspected(self, now):
        """Record that the process may have been replaced without notice.

        Other instances do not learn of it: one of them may only have lost its
        path to the server for a while.

        Returns:
            Whether a cold period began.
        """
        rule = self.rule
        return rule is not None and self.note_until(now + rule.start_s, now)

    def note_until(self, until, now):
        """Record that the server may be cold until a time in seconds.

        Returns:
            Whether a cold period began.
        """
        if until <= max(self._until, now):
            return False
        begins = now >= self._until
        if begins:
            self._since = now
        self._until = until
        return begins

    def is_turn(self, instances, now):
        """Return whether this instance may send without a permit now.

        Args:
            instances: Number of instances that share the limit by turns.
            now: Time in seconds.
        """
        cycle_s = self._cycle_s(instances)
        position = (now - self._since) / cycle_s - self._phase
        if position < 0.0 or now - self._sent_at < cycle_s / 2:
            return False
        return (position % 1.0) * cycle_s < TURN_S

    def turns_per_s(self, instances):
        """Return the requests a second of this instance without a leader."""
        return 1.0 / self._cycle_s(instances)

    def record_turn(self, now):
        """Use the present turn for a request."""
        self._sent_at = now

    def _cycle_s(self, instances):
        return max(instances, MIN_INSTANCES) / self.rule.turns_per_s
