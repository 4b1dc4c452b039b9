"""Circuit breaker of one backend server."""

import enum

FAILURES_TO_OPEN = 5
HALF_OPEN_AFTER_S = 2.0


class BreakerState(enum.StrEnum):
    """States of a circuit breaker."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


class Breaker:
    """Circuit breaker that opens after consecutive connection failures.

    After a while it is half open and allows one trial connection. Only
    failures to establish a connection count, because a backend server that
    answers with an error is reachable.
    """

    def __init__(self):
        self._failures = 0
        self._opened_at = None
        self._trial_at = None

    def state(self, now):
        """Return the state at a time.

        Args:
            now: Monotonic time in seconds.
        """
        if self._opened_at is None:
            return BreakerState.CLOSED
        if now - self._opened_at < HALF_OPEN_AFTER_S:
            return BreakerState.OPEN
        # A trial whose result is never recorded must not block the next one.
        if (
            self._trial_at is not None
            and now - self._trial_at < HALF_OPEN_AFTER_S
        ):
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def record_attempt(self, now):
        """Record that a connection is about to be opened.

        Args:
            now: Monotonic time in seconds.
        """
        if self.state(now) is BreakerState.HALF_OPEN:
            self._trial_at = now

    def record_success(self):
        """Record that a connection was established."""
        self._failures = 0
        self._opened_at = None
        self._trial_at = None

    def record_failure(self, now):
        """Record that a connection could not be established.

        Args:
            now: Monotonic time in seconds.
        """
        self._failures += 1
        self._trial_at = None
        if self._failures >= FAILURES_TO_OPEN:
            self._opened_at = now
