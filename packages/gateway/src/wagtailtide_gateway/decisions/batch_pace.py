"""Learns how much longer work takes because of the rest of its batch.

All requests that a server holds share its batch. How the times of several
models in a batch add up is not known, so it is learned over all servers of a
service: expected pace = pace of the model x (1 + sensitivity of the model x
(weight of the batch - 1)). The weight of a batch is the mean of its requests'
weights; a request for a large model weighs more. Steps that all requests have
in common show as equal sensitivities, streams that keep their own pace as
sensitivities near 0 of the larger models.
"""

import dataclasses
import enum
import math
import statistics

# Time constant in seconds of what is learned. It is a property of the models
# and not of the moment; several times that of the models' paces.
MEMORY_S = 60.0

# Server-seconds of data that the initial values of 1 count for.
PRIOR = 0.05

# Largest weight and sensitivity.
MAX_WEIGHT = 50.0
MAX_SENSITIVITY = 4.0

# What new data count for at most, before all sums are scaled down.
MAX_GAIN = 1e6

# Smallest factor of an expected pace.
MIN_FACTOR = 0.1

# Shares of a batch up to this do not count.
MIN_SHARE = 0.005

# Difference of a server's pace from the expected one, as a logarithm, from
# which the server counts less: it may be slow for another reason.
MIN_OUTLIER = 0.1

# Largest number of models in a batch, and of contents of a service's batches.
# Those beyond it weigh 1.
MAX_MODELS = 200
MAX_CONTENTS = 2 * MAX_MODELS


class Content(enum.IntEnum):
    """How a model is part of a batch.

    Attributes:
        SHARE: Its share of the requests.
        PRESENCE: The share of the time in which there is any request for it,
            which matters if the models of a batch run one after another. A
            mean number of requests below 1 is taken for this share.
    """

    SHARE = 0
    PRESENCE = 1


# Weights before anything is learned.
INITIAL = {Content.SHARE: 1.0, Content.PRESENCE: 0.0}


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work that a server has done for one model.

    Attributes:
        kind: Model, and whether it is the time to first events.
        expected_s: Seconds at the pace of the model.
        observed_s: Seconds that it took.
    """

    kind: tuple
    expected_s: float
    observed_s: float


def contents_of(batch, span_s):
    """Return what describes a batch, by model and Content.

    Requests for unknown models, under the name None, are a part of the batch
    but are left out of the result; their weight is taken to be 1.

    Args:
        batch: Seconds of running requests by model.
        span_s: Time in seconds in which they ran.
    """
    total = sum(batch.values())
    contents = {}
    for model, seconds in batch.items():
        if model is not None and seconds > MIN_SHARE * total:
            contents[(model, Content.SHARE)] = seconds / total
            contents[(model, Content.PRESENCE)] = min(1.0, seconds / span_s)
    return contents


class BatchPace:
    """The weights and sensitivities of one service's models."""

    def __init__(self):
        self._weights = {}
        self._sensitivities = {}
        # Normal equations of the weights: products of the shares of two
        # models, and of a model's share and what it has to explain.
        self._products = {}
        self._targets = {}
        # The same for the sensitivities: target and product by kind.
        self._slopes = {}
        # What new data count for; it grows, so that old data fade.
        self._gain = 1.0

    def weight(self, contents):
        """Return the weight of a batch with these contents."""
        weights = self._weights
        return 1.0 + sum(
            amount * (weights[key] - INITIAL[key[1]])
            for key, amount in contents.items()
            if key in weights
        )

    def factor(self, kind, weight):
        """Return the expected pace in a batch divided by the model's pace.

        Args:
            kind: Model, and whether it is the time to first events.
            weight: Weight of the batch.
        """
        sensitivity = self._sensitivities.get(kind, 1.0)
        return max(MIN_FACTOR, 1.0 + sensitivity * (weight - 1.0))

    def learn(self, servers, elapsed_s):
        """Learn from what the servers did.

        Args:
            servers: Of each server: the contents of its batch, its Work, and
                the logarithm of its observed over its expected time.
            elapsed_s: Time in seconds since the last call.
        """
        if elapsed_s <= 0.0:
            return
        self._fade(elapsed_s)
        if not servers:
            return
        scatter = statistics.median_high(
            abs(difference) for _, _, difference in servers
        )
        outlier = max(MIN_OUTLIER, 2.0 * scatter)
        for contents, works, difference in servers:
            trust = min(1.0, (outlier / max(abs(difference), 0.001)) ** 2)
            amount = self._gain * elapsed_s * trust
            self._add(contents, *self._add_works(contents, works, amount))
        self._solve()

    def _fade(self, elapsed_s):
        self._gain *= math.exp(min(elapsed_s, MEMORY_S) / MEMORY_S)
        if self._gain < MAX_GAIN:
            return
        for row in self._products.values():
            for other in row:
                row[other] /= self._gain
        for key in self._targets:
            self._targets[key] /= self._gain
        for slope in self._slopes.values():
            slope[0] /= self._gain
            slope[1] /= self._gain
        self._gain = 1.0

    def _add_works(self, contents, works, amount):
        """Add what a server shows of the sensitivities.

        Returns:
            The sum of the squares of the sensitivities, and of their products
            with what the weights have to explain, each times the amount.
        """
        total_s = sum(work.expected_s for work in works)
        weight = self.weight(contents)
        # The part of the weight that does not depend on the learned ones.
        known = 1.0 - sum(
            part * INITIAL[key[1]] for key, part in contents.items()
        )
        squares = targets = 0.0
        for work in works:
            factor = self.factor(work.kind, weight)
            part = amount * work.expected_s / total_s / factor**2
            excess = work.observed_s / work.expected_s - 1.0
            sensitivity = self._sensitivities.get(work.kind, 1.0)
            squares += part * sensitivity**2
            targets += (
                part * sensitivity * (excess + sensitivity * (1.0 - known))
            )
            slope = self._slopes.setdefault(work.kind, [0.0, 0.0])
            slope[0] += part * excess * (weight - 1.0)
            slope[1] += part * (weight - 1.0) ** 2
        return squares, targets

    def _add(self, contents, squares, targets):
        """Add what a server shows of the weights."""
        items = list(contents.items())
        for key, amount in items:
            row = self._products.get(key)
            if row is None:
                if len(self._products) >= MAX_CONTENTS:
                    continue
                row = self._products[key] = {}
                self._targets[key] = 0.0
            self._targets[key] += targets * amount
            scale = squares * amount
            for other, other_amount in items:
                row[other] = row.get(other, 0.0) + scale * other_amount

    def _solve(self):
        """Improve each value once, with the others as they are."""
        prior = PRIOR * self._gain
        weights = self._weights
        for key in self._products:
            weights.setdefault(key, INITIAL[key[1]])
        for key, row in self._products.items():
            others = -row[key] * weights[key]
            for other, product in row.items():
                if other in weights:
                    others += product * weights[other]
            found = (prior * INITIAL[key[1]] + self._targets[key] - others) / (
                prior + row[key]
            )
            weights[key] = min(max(found, 0.0), MAX_WEIGHT)
        for kind, (target, product) in self._slopes.items():
            found = (prior + target) / (prior + product)
            self._sensitivities[kind] = min(max(found, 0.0), MAX_SENSITIVITY)
