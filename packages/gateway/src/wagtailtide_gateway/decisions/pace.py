"""How often instances exchange with the leader, and when it counts as silent.

In a large fleet an instance exchanges less often than it may miss a leader, so
the time since the last answer alone does not show that there is none.
"""

# Interval of full exchanges in a small fleet. It bounds the age of the load
# data.
EXCHANGE_INTERVAL_S = 0.25

# Exchanges a second that a leader can answer with a few percent of a small
# machine's processor. In larger fleets the interval is longer.
LEADER_EXCHANGES_PER_S = 120.0

# Exchanges a second that waiting requests of all instances may start, so that
# a burst of them leaves the leader time for its other work.
MAX_EXCHANGES_PER_S = 1000.0

# Exchanges that an instance may start in a row: a request may need a rate and
# then memory, and each is an exchange.
MAX_IN_A_ROW = 2

# The leader may be lost once it has not answered for this many seconds.
LEADER_TIMEOUT_S = 1.0


def exchange_interval_s(instances):
    """Return the seconds between two full exchanges of an instance.

    Args:
        instances: Number of instances that exchange with the leader.
    """
    return max(EXCHANGE_INTERVAL_S, instances / LEADER_EXCHANGES_PER_S)


def is_leader_lost(silent_s, has_failed, interval_s):
    """Return whether the leader may be lost, so that the lease is read.

    Args:
        silent_s: Seconds since the last answer of the leader.
        has_failed: Whether an exchange has failed since then.
        interval_s: Seconds between two full exchanges.
    """
    if has_failed:
        return silent_s >= LEADER_TIMEOUT_S
    # An exchange that neither fails nor ends is counted as silence, too.
    return silent_s >= interval_s + LEADER_TIMEOUT_S


class ExchangeRate:
    """Spreads the exchanges of an instance, as all share the leader."""

    def __init__(self):
        self._used_until = float('-inf')

    def record(self, instances, now):
        """Count an exchange.

        Args:
            instances: Number of instances that exchange with the leader.
            now: Time in seconds.
        """
        spacing_s = instances / MAX_EXCHANGES_PER_S
        self._used_until = max(self._used_until, now) + spacing_s

    def pause_s(self, instances, now):
        """Return the seconds until the next exchange may start.

        Args:
            instances: Number of instances that exchange with the leader.
            now: Time in seconds.
        """
        spacing_s = instances / MAX_EXCHANGES_PER_S
        ahead_s = (MAX_IN_A_ROW - 1) * spacing_s
        return max(0.0, self._used_until - ahead_s - now)
