"""Repeats of one instance within the budget that all instances share."""

import collections

# Share of the budget that is used: requests that other instances' callers
# sent are counted where they arrived, which this instance cannot see.
USED_SHARE = 0.7


class SharedBudget:
    """Repeats in a sliding window, as this instance's part of the whole.

    Answers the load of a failing service, whose every request would
    otherwise be sent twice just when it can run the fewest.
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    def record_request(self, service, now):
        """Note a caller's request for a service."""
        self._requests[service].append(now)

    def try_spend(self, service, instances, now):
        """Take one repeat and return whether it was allowed.

        Args:
            service: Name of the service.
            instances: Number of instances that share the slack.
            now: Time in seconds.
        """
        requests = self._trim(self._requests[service], now)
        repeats = self._trim(self._repeats[service], now)
        allowed = self._ratio * requests + self._slack / max(instances, 1)
        if repeats + 1 > allowed * USED_SHARE:
            return False
        self._repeats[service].append(now)
        return True

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
