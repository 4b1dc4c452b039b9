"""Estimate how long a request would wait, and whether that is too long."""

import dataclasses
import math

# Weight of the newest service time. About the last 20 requests count, which
# follows a change of load within seconds at tens of requests a second.
SMOOTHING = 0.05

MIN_RETRY_AFTER_S = 1.0


class ServiceTimes:
    """Smoothed time in service of the requests of each pool."""

    def __init__(self):
        self._seconds = {}

    def record(self, pool, service_s):
        """Take the time in service of a finished request into account."""
        known = self._seconds.get(pool, service_s)
        self._seconds[pool] = known + SMOOTHING * (service_s - known)

    def expected_s(self, pool, default_s):
        """Return the time in service, or the default if none is known."""
        return self._seconds.get(pool, default_s)


@dataclasses.dataclass(frozen=True)
class Backlog:
    """What decides how long a request waits in its pool.

    Attributes:
        before_tokens: Waiting tokens of more urgent classes.
        class_tokens: Waiting tokens of its own class.
        own_tokens: Waiting tokens of its organisation in its class.
        share: Share of its organisation among those that wait in its class.
        in_service_tokens: Tokens in service, of all classes.
        service_s: Expected time in service.
        guaranteed: Part of the capacity that its class gets in any case.
    """

    before_tokens: float
    class_tokens: float
    own_tokens: float
    share: float
    in_service_tokens: float
    service_s: float
    guaranteed: float


def estimate_wait_s(backlog):
    """Estimate the wait of a request that is offered now.

    The pool drains at the rate at which what is in service ends. This follows
    a burst at once, while a measured rate of finished requests would show the
    low demand before the burst and refuse requests for no reason.

    Returns:
        Seconds; 0 while nothing is in service, because then the rate is not
        known and a refusal would have no ground.
    """
    if backlog.in_service_tokens <= 0 or backlog.service_s <= 0:
        return 0.0
    drained_per_s = backlog.in_service_tokens / backlog.service_s
    # A flood of another organisation does not stand before this request.
    ahead = min(backlog.class_tokens, backlog.own_tokens / backlog.share)
    wait_s = (backlog.before_tokens + ahead) / drained_per_s
    if backlog.guaranteed > 0:
        wait_s = min(wait_s, ahead / drained_per_s / backlog.guaranteed)
    return wait_s


def retry_after_s(excess_s):
    """Return the whole seconds after which a repetition may succeed.

    Args:
        excess_s: Seconds by which the deadline would have been missed.
    """
    return float(math.ceil(max(excess_s, MIN_RETRY_AFTER_S)))
