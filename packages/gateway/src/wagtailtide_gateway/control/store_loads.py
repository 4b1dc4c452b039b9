"""Loads from the weight store in the window that its limit covers."""

import collections
import math

# Part of the weight store's rate that is used. What may be open at once is
# bounded by the same number: beyond it every load takes longer.
STORE_RATE_SHARE = 1.0

# Loads that the weight store allows beyond its rate in any window.
SPARE_LOADS = 3


class StoreLoads:
    """Counts the loads of the last window.

    Args:
        window_s: Length of the window in seconds.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._begun_at = collections.deque()

    def begin_duty(self, deployment, fence, now):
        """Start a count as the holder of the duty.

        What the holder before loaded in this window is unknown; the limit
        allows a few loads beyond the rate.
        """
        self._begun_at.clear()
        if fence > 1:
            used = self._allowed(deployment) - SPARE_LOADS
            self._begun_at.extend([now] * used)

    def count(self, now):
        """Count a load that begins."""
        self._begun_at.append(now)

    def left(self, deployment, open_loads, now):
        """Return how many loads may begin now.

        Args:
            deployment: The Deployment, for the rates of its services.
            open_loads: Loads in progress.
            now: Time in seconds.
        """
        while self._begun_at and self._begun_at[0] <= now - self._window_s:
            self._begun_at.popleft()
        allowed = self._allowed(deployment)
        return allowed - max(len(self._begun_at), open_loads)

    def _allowed(self, deployment):
        rates = [
            service.engine.loads_per_s
            for service in deployment.services.values()
            if service.engine is not None
        ]
        allowed = sum(rates) * self._window_s * STORE_RATE_SHARE
        return max(1, math.floor(allowed))
