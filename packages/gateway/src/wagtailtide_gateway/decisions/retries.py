"""Retry budget of one instance, a part of the budget of all instances.

The load: servers reject or fail a part of the requests while instances are
killed, or replaced one after the other. Each process then has the requests of
callers who come again, and knows nothing of the retries that its forerunner
has sent in the same window.
"""

import collections
import math

# Share of the budget that is used. This instance counts only its own callers'
# requests and cannot see those that other instances received.
BUDGET_SHARE = 0.7

# Share while a forerunner may have sent retries in the window. It may have
# used BUDGET_SHARE, just before it ended.
YOUNG_SHARE = 1.0 - BUDGET_SHARE


class RetryBudget:
    """Retry budget of this instance in a sliding window.

    Without a limit, every request to a failing service would be sent twice, at
    the time when the service can run the fewest.

    Args:
        ratio: Retries allowed per request of a service.
        slack: Further retries allowed, over all instances.
        window_s: Length of the window in seconds.
        started_at: Time in seconds at which the process started. An earlier
            process of the instance may have run until then.
    """

    def __init__(self, ratio, slack, window_s, started_at=-math.inf):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._free_since = started_at
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)
        # Time and number of instances, of which each number is smaller than
        # those before it.
        self._instances = collections.deque()

    def note_free_since(self, at):
        """Record that no earlier process has run since a time in seconds."""
        self._free_since = min(self._free_since, at)

    def record_request(self, service, now):
        """Record a caller's request for a service."""
        self._requests[service].append(now)

    def record_instances(self, instances, now):
        """Record how many instances share the slack.

        The largest number of the window counts: a new leader has not heard of
        all instances yet.

        Args:
            instances: Their number, 0 if it is not known.
            now: Time in seconds.
        """
        known = self._instances
        while known and known[-1][1] <= instances:
            known.pop()
        known.append((now, instances))
        while known[0][0] <= now - self._window_s:
            known.popleft()

    def try_spend(self, service, instances, now):
        """Use one retry; return whether the budget allows it.

        Args:
            service: Name of the service.
            instances: Number of instances that share the slack, 0 if it is not
                known.
            now: Time in seconds.
        """
        self.record_instances(instances, now)
        requests = self._count_recent(self._requests[service], now)
        retries = self._count_recent(self._retries[service], now)
        if retries + 1 > self._share_of_budget(requests, now):
            return False
        self._retries[service].append(now)
        return True

    def _share_of_budget(self, requests, now):
        """Return the retries that this process may send in the window.

        Args:
            requests: Number of its requests in the window.
            now: Time in seconds.
        """
        _, instances = self._instances[0]
        slack = self._slack / instances if instances else 0.0
        free_s = now - self._free_since
        if free_s >= self._window_s:
            return BUDGET_SHARE * (self._ratio * requests + slack)
        # Processes that follow one another in a window share this slack.
        slack *= free_s / self._window_s
        return YOUNG_SHARE * (self._ratio * requests + slack)

    def _count_recent(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
