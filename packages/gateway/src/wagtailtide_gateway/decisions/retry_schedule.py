"""Retry-After values that spread the retries of refused callers."""

# Largest Retry-After value. Callers wait for at most a third of the time they
# have left, so they would not follow a larger one.
MAX_RETRY_AFTER_S = 8.0


class RetrySchedule:
    """Retry times given to refused callers by one instance.

    Callers that all got the same Retry-After would return at once, find a
    loaded copy with a few dozen slots and be refused again. This happens while
    a model is being loaded or is overloaded.
    """

    def __init__(self):
        self._next_retry_at = {}

    def assign(self, key, ready_at, retries_per_s, now):
        """Return the Retry-After value in seconds for a refused caller.

        Args:
            key: What the caller waits for, a service and a model.
            ready_at: Time in seconds at which the first retry can be served.
            retries_per_s: Retries a second that this instance may admit.
            now: Time in seconds.
        """
        retry_at = self._retry_at(key, ready_at, now)
        self._next_retry_at[key] = retry_at + 1.0 / retries_per_s
        return retry_at - now

    def predict(self, key, ready_at, retries_per_s, now):
        """Return what `assign` would return, without assigning it."""
        return self._retry_at(key, ready_at, now) - now

    def _retry_at(self, key, ready_at, now):
        retry_at = max(ready_at, self._next_retry_at.get(key, ready_at))
        return min(retry_at, now + MAX_RETRY_AFTER_S)
