"""Retry budget of one instance, a part of the budget of all instances."""

import collections

# Share of the budget that is used. This instance counts only its own callers'
# requests and cannot see those that other instances received.
BUDGET_SHARE = 0.7


class RetryBudget:
    """Retry budget of this instance in a sliding window.

    Without a limit, every request to a failing service would be sent twice, at
    the time when the service can run the fewest.
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def record_request(self, service, now):
        """Record a caller's request for a service."""
        self._requests[service].append(now)

    def try_spend(self, service, instances, now):
        """Use one retry; return whether the budget allows it.

        Args:
            service: Name of the service.
            instances: Number of instances that share the slack.
            now: Time in seconds.
        """
        requests = self._count_recent(self._requests[service], now)
        retries = self._count_recent(self._retries[service], now)
        allowed = self._ratio * requests + self._slack / max(instances, 1)
        if retries + 1 > allowed * BUDGET_SHARE:
            return False
        self._retries[service].append(now)
        return True

    def _count_recent(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
