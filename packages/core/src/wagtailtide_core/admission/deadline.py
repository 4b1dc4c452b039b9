"""Estimates of how long a request waits and when to retry it."""

import dataclasses
import math

# Weight of the newest service time. The average covers about the last 20
# requests, so it follows a change of load within seconds at tens of requests a
# second.
SMOOTHING_FACTOR = 0.05

MIN_RETRY_AFTER_S = 1.0


class ServiceTimes:
    """Exponentially smoothed service time of the requests of each pool."""

    def __init__(self):
        self._smoothed_s = {}

    def record(self, pool, service_s):
        """Add the service time of a finished request to the average."""
        known = self._smoothed_s.get(pool, service_s)
        self._smoothed_s[pool] = known + SMOOTHING_FACTOR * (service_s - known)

    def expected_s(self, pool, default_s):
        """Return the average in seconds, or the default if none is known."""
        return self._smoothed_s.get(pool, default_s)


@dataclasses.dataclass(frozen=True)
class Backlog:
    """State of a pool from which the wait of one request is estimated.

    Attributes:
        more_urgent_tokens: Waiting tokens of more urgent classes.
        class_tokens: Waiting tokens of the request's class.
        organisation_tokens: Waiting tokens of the request's organisation in
            its class.
        share: Share of the organisation among those waiting in the class, by
            weight.
        in_service_tokens: Tokens in service, of all classes.
        service_s: Expected service time in seconds.
        guaranteed_share: Share of the capacity that the class gets even while
            more urgent classes wait.
    """

    more_urgent_tokens: float
    class_tokens: float
    organisation_tokens: float
    share: float
    in_service_tokens: float
    service_s: float
    guaranteed_share: float


def estimate_wait_s(backlog):
    """Estimate the wait of a request that is offered now.

    The pool is assumed to drain at the rate at which the requests in service
    end. This rate follows a burst immediately. A measured rate of finished
    requests would still reflect the low demand before the burst, and requests
    would be refused unnecessarily.

    Returns:
        Seconds; 0 while nothing is in service, because the rate is unknown
        then and does not justify a refusal.
    """
    if backlog.in_service_tokens <= 0 or backlog.service_s <= 0:
        return 0.0
    drained_tokens_per_s = backlog.in_service_tokens / backlog.service_s
    # Only the fair share of other organisations is served before this request,
    # however many requests they have waiting.
    ahead_tokens = min(
        backlog.class_tokens, backlog.organisation_tokens / backlog.share
    )
    wait_s = (backlog.more_urgent_tokens + ahead_tokens) / drained_tokens_per_s
    if backlog.guaranteed_share > 0:
        wait_s = min(
            wait_s,
            ahead_tokens / drained_tokens_per_s / backlog.guaranteed_share,
        )
    return wait_s


def retry_after_s(excess_s):
    """Return the whole seconds after which a retry may succeed.

    Args:
        excess_s: Seconds by which the deadline would have been missed.
    """
    return float(math.ceil(max(excess_s, MIN_RETRY_AFTER_S)))
