"""Limit on loads from the weight store in a sliding window."""

import collections
import math

# Share of the weight store's rate that is used. The number of loads that it
# allows in a window also limits the loads in progress, because more of them
# make each one slower.
STORE_RATE_SHARE = 1.0

# Number of loads that the weight store allows beyond its rate in any window.
EXTRA_LOADS = 3


class StoreLoadLimiter:
    """Limits the loads that start within a sliding window.

    Args:
        window_s: Length of the window in seconds.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._started_at = collections.deque()

    def start_term(self, deployment, fence, previous_term_s, now):
        """Start a leadership term.

        The loads that the previous leader started in this window are unknown.
        All that its rate allows are taken as started, less EXTRA_LOADS, which
        the store allows beyond its rate. If the previous term was shorter than
        the window, its leader may have started these as well.

        Args:
            deployment: The Deployment, for the rates of its services.
            fence: Fencing token of the term, 1 if there was no leader before.
            previous_term_s: Duration of the previous term in seconds, at
                least.
            now: Time in seconds.
        """
        self._started_at.clear()
        if fence > 1:
            extra = EXTRA_LOADS if previous_term_s >= self._window_s else 0
            assumed = self._allowed(deployment) - extra
            self._started_at.extend([now] * assumed)

    def record_load(self, now):
        """Record a load that starts now."""
        self._started_at.append(now)

    def remaining(self, deployment, open_loads, now):
        """Return the number of loads that may start now.

        Args:
            deployment: The Deployment, for the rates of its services.
            open_loads: Number of loads in progress.
            now: Time in seconds.
        """
        while self._started_at and self._started_at[0] <= now - self._window_s:
            self._started_at.popleft()
        allowed = self._allowed(deployment)
        return allowed - max(len(self._started_at), open_loads)

    def _allowed(self, deployment):
        rates = [
            service.engine.loads_per_s
            for service in deployment.services.values()
            if service.engine is not None
        ]
        allowed = sum(rates) * self._window_s * STORE_RATE_SHARE
        return max(1, math.floor(allowed))
