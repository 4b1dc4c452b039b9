"""Demand of this instance for requests that are large beside an engine.

While no reservations are granted (`memory_reservations`), the others are taken
to have as many of them as this instance.
"""

import collections


def is_large(tokens, capacity, slots):
    """Return whether requests of a size fill an engine before its slots."""
    return tokens * slots > capacity


class LargeDemand:
    """Tokens of the large requests that this instance wanted of late."""

    def __init__(self):
        self._wanted = collections.defaultdict(collections.deque)

    def record(self, key, tokens, now):
        """Add a large request, when it is wanted for the first time.

        Args:
            key: Service and model.
            tokens: Tokens that it needs.
            now: Time in seconds.
        """
        self._wanted[key].append((now, tokens))

    def rise(self, key, period_s, now):
        """Return by how many tokens the demand for large requests has risen.

        Args:
            key: Service and model.
            period_s: Seconds that are compared with as many before them.
            now: Time in seconds.
        """
        wanted = self._wanted.get(key)
        if wanted is None:
            return 0
        while wanted and now - wanted[0][0] > 2.0 * period_s:
            wanted.popleft()
        if not wanted:
            del self._wanted[key]
        rise = 0
        for wanted_at, tokens in wanted:
            rise += tokens if now - wanted_at <= period_s else -tokens
        return max(0, rise)
