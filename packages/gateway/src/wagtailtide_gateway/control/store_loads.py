"""Limits on loads from the weight store in a sliding window."""

import bisect
import math

# Share of the weight store's rate that is used. The number of loads that it
# allows in a window also limits the loads in progress, because more of them
# make each one slower.
STORE_RATE_SHARE = 1.0

# Number of loads that the weight store allows beyond its rate in any window.
EXTRA_LOADS = 3


class StoreLoadLimiter:
    """Limits the loads that are planned and that start within a window.

    A planned load starts later, once other models have been unloaded from its
    engine. Loads that were planned in different windows may be ready to start
    in the same one, so their starts are limited too.

    Args:
        window_s: Length of the sliding window in seconds.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._planned_at = []
        self._starts_at = []

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
        assumed = 0
        if fence > 1:
            extra = EXTRA_LOADS if previous_term_s >= self._window_s else 0
            assumed = self._allowed(deployment) - extra
        self._planned_at = [now] * assumed
        self._starts_at = [now] * assumed

    def record_plan(self, now):
        """Record a load that is planned now."""
        self._planned_at.append(now)

    def reserve_start(self, deployment, now):
        """Return the seconds until a planned load may start, and count it.

        Args:
            deployment: The Deployment, for the rates of its services.
            now: Time in seconds.
        """
        self._drop_expired(self._starts_at, now)
        allowed, start_at = self._allowed(deployment), now
        if len(self._starts_at) >= allowed:
            start_at = self._starts_at[-allowed] + self._window_s
        bisect.insort(self._starts_at, start_at)
        return start_at - now

    def remaining(self, deployment, open_loads, now):
        """Return the number of loads that may be planned now.

        Args:
            deployment: The Deployment, for the rates of its services.
            open_loads: Number of loads in progress.
            now: Time in seconds.
        """
        self._drop_expired(self._planned_at, now)
        allowed = self._allowed(deployment)
        return allowed - max(len(self._planned_at), open_loads)

    def _drop_expired(self, times, now):
        del times[: bisect.bisect_right(times, now - self._window_s)]

    def _allowed(self, deployment):
        rates = [
            service.engine.loads_per_s
            for service in deployment.services.values()
            if service.engine is not None
        ]
        allowed = sum(rates) * self._window_s * STORE_RATE_SHARE
        return max(1, math.floor(allowed))
