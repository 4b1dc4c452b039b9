"""Decide from reads of a session whether a lease has lapsed.

The clocks of holder and observer are not compared. An observer waits until it
has itself seen the session unchanged for the whole horizon, which is the time
that a lease stays valid without a renewal.
"""

import dataclasses

from wagtailtide_core.rates import bucket

SAFETY_MARGIN_S = 1.0


def observation_period_s(horizon_s):
    """Return how long a session must be seen unchanged.

    Args:
        horizon_s: Horizon of the lease in seconds of the holder's clock.

    Returns:
        Seconds of the observer's clock, which may run faster than the
        holder's.
    """
    return horizon_s * bucket.MAX_CLOCK_SPEED_RATIO + SAFETY_MARGIN_S


@dataclasses.dataclass(frozen=True)
class _Observation:
    version: int | None
    first_received_at: float
    last_sent_at: float


class SessionObserver:
    """Versions of sessions that this instance has read from the store."""

    def __init__(self):
        self._seen = {}

    def observe(self, name, version, sent_at, received_at):
        """Record one read.

        Args:
            name: Name of the instance whose session was read.
            version: Store version of the session, None if there is none.
            sent_at: When the read was sent, in seconds of the own clock.
            received_at: When its answer arrived, by the same clock.
        """
        seen = self._seen.get(name)
        if seen is None or seen.version != version:
            self._seen[name] = _Observation(version, received_at, sent_at)
        else:
            last = max(seen.last_sent_at, sent_at)
            self._seen[name] = dataclasses.replace(seen, last_sent_at=last)

    def has_lapsed(self, name, horizon_s):
        """Return whether a session was seen unchanged for the whole horizon.

        Args:
            name: Name of the instance.
            horizon_s: Horizon of the lease in seconds.
        """
        seen = self._seen.get(name)
        if seen is None:
            return False
        unchanged = seen.last_sent_at - seen.first_received_at
        return unchanged >= observation_period_s(horizon_s)

    def retain(self, names):
        """Drop all sessions except the named ones."""
        self._seen = {n: s for n, s in self._seen.items() if n in names}
