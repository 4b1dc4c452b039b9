"""Order of waiting requests, and what each class of them may use."""

import math

# Time constant in seconds in which used work is forgotten. An organisation
# that was idle goes first until its recent work equals that of the others:
# with one other that kept all slots busy, for ln 2 of this time. It is about
# two exchange intervals of 124 instances, so that the usage reported by other
# instances is not older than what it is compared with.
USAGE_PERIOD_S = 2.0

# Time constant in seconds of arrival rates.
RATE_PERIOD_S = 1.0

# Weight of the latest request in the mean work of its kind.
SMOOTHING = 0.05

# Largest ratio of the expected work of a request to the mean of its kind. The
# work is corrected when the request ends.
MAX_RATIO = 4.0

# Sums below this part of the last amount added are dropped.
_NEGLIGIBLE = 0.001


class DecayingSums:
    """Sums by key in which an amount counts less the older it is.

    Args:
        period_s: Seconds in which an amount falls to 1/e.
    """

    def __init__(self, period_s):
        self._period_s = period_s
        self._sums = {}

    def add(self, key, amount, now):
        """Add an amount, which may be negative."""
        total = max(0.0, self.value(key, now) + amount)
        self._sums[key] = (total, now)

    def value(self, key, now):
        """Return the sum of a key at a time in seconds."""
        total, at = self._sums.get(key, (0.0, now))
        return total * decay(now - at, self._period_s)

    def values(self, now):
        """Return the sums that are not negligible, by key."""
        sums = {key: self.value(key, now) for key in self._sums}
        for key, total in sums.items():
            if total < _NEGLIGIBLE:
                del self._sums[key]
        return {key: total for key, total in sums.items() if key in self._sums}


def decay(age_s, period_s):
    """Return what is left of an amount of 1 after some seconds."""
    return math.exp(-max(0.0, age_s) / period_s)


def relative_weights(organisations):
    """Return the weight of each organisation, by name.

    It is the rate relative to the mean rate of those that are counted in the
    same unit, so that one without a rate has a weight comparable to theirs.

    Args:
        organisations: The Organisation objects.
    """
    rates = {False: [], True: []}
    for org in organisations:
        if org.rate_per_s > 0:
            rates[org.counts_tokens].append(org.rate_per_s)
    means = {
        unit: sum(values) / len(values)
        for unit, values in rates.items()
        if values
    }
    return {
        org.name: org.rate_per_s / means[org.counts_tokens]
        for org in organisations
        if org.rate_per_s > 0
    }


class WorkEstimates:
    """Mean slot time and tokens of the requests of each kind."""

    def __init__(self):
        self._means = {}

    def record(self, kind, tokens, seconds):
        """Record a request that ended.

        Args:
            kind: Kind of request, for example its service and priority.
            tokens: Number of its tokens, None if unknown.
            seconds: Time for which it was in a server.
        """
        mean = self._means.get(kind, (tokens or 0, seconds))
        self._means[kind] = (
            mean[0] + SMOOTHING * ((tokens or mean[0]) - mean[0]),
            mean[1] + SMOOTHING * (seconds - mean[1]),
        )

    def seconds(self, kind, default_s):
        """Return the mean time in a server of a kind of requests."""
        return self._means.get(kind, (0, default_s))[1]

    def work_s(self, kind, tokens, default_s):
        """Return the expected work of a request in seconds in a slot."""
        mean_tokens, mean_s = self._means.get(kind, (0, default_s))
        if not tokens or not mean_tokens:
            return mean_s
        return mean_s * min(
            max(tokens / mean_tokens, 1 / MAX_RATIO), MAX_RATIO
        )


def part_ahead(usage, waiting, organisation):
    """Return the part of waiting requests that go before an organisation's.

    Args:
        usage: Function that returns the usage of an organisation relative to
            its weight.
        waiting: Number of waiting requests of one priority, by organisation.
        organisation: Name of the organisation. Its own requests count as
            ahead, because they came earlier.
    """
    total = sum(waiting.values())
    if total <= 0:
        return 1.0
    own_usage = usage(organisation)
    ahead = sum(
        count
        for name, count in waiting.items()
        if name == organisation or usage(name) <= own_usage
    )
    return ahead / total


def remaining_ahead(reported, at_join, waited_s, expected_wait_s):
    """Return how many requests of other instances precede a queued one.

    The report also counts requests that came after this one. Of those that
    were ahead when it was queued, a part proportional to the time has started.

    Args:
        reported: Number that is reported now.
        at_join: Number that was reported when it was queued.
        waited_s: Seconds since then.
        expected_wait_s: Wait that was predicted then, in seconds.
    """
    if expected_wait_s <= 0:
        return reported
    left = max(0.0, 1.0 - waited_s / expected_wait_s)
    return min(reported, at_join * left)
