"""Demand for each model, summed over the instances that receive requests.

Instances publish exponentially decayed token rates as compact gossip records.
Comparing a fast and a slow average shows whether demand grows, so that the
demand at the time when a load finishes can be forecast: demand may change
tenfold within an hour.
"""

import dataclasses
import math
import struct

import xxhash

from wagtailtide_core.membership import overlay

FAST_TIME_CONSTANT_S = 30.0
SLOW_TIME_CONSTANT_S = 300.0
# Time from a decision until the replica serves requests: waiting for the
# weight store, the load itself, and the gossip about it.
FORECAST_HORIZON_S = 120.0
# Growth faster than tenfold in ten minutes is treated as noise.
MAX_GROWTH_PER_S = math.log(10) / 600.0
# Tokens in the slow average at which a growth rate gets half its weight; with
# fewer tokens it is mostly noise.
TREND_CONFIDENCE_TOKENS = 2_000.0

# With 390 instances, records from all of them would fill the gossip budget, so
# the fleet's demand is estimated from a sample of at most this many instances.
MAX_REPORTERS = 32
PUBLISH_INTERVAL_S = 20.0
# An instance that stopped publishing for this long has lost its callers to
# other instances, which count them already.
RECORD_TTL_S = 60.0
MAX_ENTRIES = 200

_ENTRY = struct.Struct('>IBB')
_STEPS_PER_DOUBLING = 8
_MIN_RATE_TOKENS_PER_S = 2.0**-10


def hash_model(model):
    """Return the 32-bit hash that identifies a model in records."""
    return xxhash.xxh32_intdigest(model.encode())


def is_reporter(name, live_names):
    """Tell whether an instance is one of those that publish their demand.

    Args:
        name: Name of the instance.
        live_names: Names of the live instances.
    """
    if len(live_names) <= MAX_REPORTERS:
        return True
    return name in overlay.rendezvous('demand', live_names, MAX_REPORTERS)


@dataclasses.dataclass
class DecayedRate:
    """Exponentially decayed averages of a rate in tokens a second.

    Attributes:
        fast: Average over `FAST_TIME_CONSTANT_S`.
        slow: Average over `SLOW_TIME_CONSTANT_S`.
        updated_at: Time in seconds up to which the averages have decayed.
    """

    fast: float = 0.0
    slow: float = 0.0
    updated_at: float = 0.0

    def decay(self, now):
        """Decay the averages to the current time."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.fast *= math.exp(-elapsed_s / FAST_TIME_CONSTANT_S)
        self.slow *= math.exp(-elapsed_s / SLOW_TIME_CONSTANT_S)
        self.updated_at = max(now, self.updated_at)

    def add(self, tokens, now):
        """Add the tokens of a request."""
        self.decay(now)
        self.fast += tokens / FAST_TIME_CONSTANT_S
        self.slow += tokens / SLOW_TIME_CONSTANT_S


class DemandMeter:
    """Counts the demand that one instance receives."""

    def __init__(self):
        self._rates = {}

    def record(self, model, tokens, now):
        """Count a request on arrival, whether or not it is served.

        Args:
            model: Model, as ``name@version``.
            tokens: Estimated tokens of the request.
            now: Current time in seconds.
        """
        rate = self._rates.setdefault(model, DecayedRate(updated_at=now))
        rate.add(tokens, now)

    def to_value(self, now):
        """Return this instance's record as bytes and drop idle models."""
        for model, rate in tuple(self._rates.items()):
            rate.decay(now)
            if rate.slow < _MIN_RATE_TOKENS_PER_S:
                del self._rates[model]
        largest = sorted(
            self._rates.items(),
            key=lambda pair: (-max(pair[1].fast, pair[1].slow), pair[0]),
        )
        return b''.join(
            _ENTRY.pack(
                hash_model(model), _quantise(rate.fast), _quantise(rate.slow)
            )
            for model, rate in largest[:MAX_ENTRIES]
        )


def _quantise(rate):
    if rate <= _MIN_RATE_TOKENS_PER_S:
        return 0
    level = _STEPS_PER_DOUBLING * math.log2(rate / _MIN_RATE_TOKENS_PER_S)
    return min(255, max(1, round(level)))


def _dequantise(level):
    return (
        _MIN_RATE_TOKENS_PER_S * 2 ** (level / _STEPS_PER_DOUBLING)
        if level
        else 0.0
    )


def parse(value):
    """Return the rates of a record as ``{model hash: (fast, slow)}``.

    Raises:
        ValueError: If the value is not a whole number of entries.
    """
    if not isinstance(value, bytes) or len(value) % _ENTRY.size:
        raise ValueError('expected bytes with a whole number of entries')
    return {
        model_hash: (_dequantise(fast), _dequantise(slow))
        for model_hash, fast, slow in _ENTRY.iter_unpack(value)
    }


@dataclasses.dataclass(frozen=True)
class Forecast:
    """Demand for a model over the whole fleet, in tokens a second.

    Attributes:
        predicted: Demand expected when a load that is ordered now finishes.
        sustained: The higher of the fast and the slow average. Replicas that
            this demand needs are kept through a pause between bursts.
    """

    predicted: float
    sustained: float


NO_DEMAND = Forecast(0.0, 0.0)


class FleetDemand:
    """Sum of the demand that the reporting instances publish.

    The sums are updated with each record, so that the cost of a forecast does
    not depend on the number of instances.
    """

    def __init__(self):
        self._records = {}
        self._sums = {}

    def apply(self, instance, value, age_s, now):
        """Replace an instance's record; ignore a malformed one.

        Args:
            instance: Name of the instance.
            value: Value of the record, as bytes.
            age_s: Age of the record in seconds.
            now: Current time in seconds.

        Returns:
            Whether the record was well formed.
        """
        try:
            entries = parse(value)
        except ValueError:
            return False
        self.forget(instance)
        self._records[instance] = (entries, now - age_s)
        self._add(entries, 1.0)
        return True

    def forget(self, instance):
        """Remove an instance's record."""
        entries, _ = self._records.pop(instance, ({}, 0.0))
        self._add(entries, -1.0)

    def drop_expired(self, now):
        """Remove records that have not been renewed in time."""
        for instance, (_, as_of) in tuple(self._records.items()):
            if now - as_of >= RECORD_TTL_S:
                self.forget(instance)
        if not self._records:
            # Rounding errors must not count as demand.
            self._sums.clear()

    def forecast(self, model, live_instances):
        """Return the forecast for a model.

        Args:
            model: Model, as ``name@version``.
            live_instances: Number of live instances.
        """
        fast, slow = self._sums.get(hash_model(model), (0.0, 0.0))
        if not self._records or max(fast, slow) < _MIN_RATE_TOKENS_PER_S:
            return NO_DEMAND
        scale = max(1.0, live_instances / len(self._records))
        return make_forecast(fast * scale, slow * scale)

    def _add(self, entries, sign):
        for model_hash, (fast, slow) in entries.items():
            known_fast, known_slow = self._sums.get(model_hash, (0.0, 0.0))
            total = (known_fast + sign * fast, known_slow + sign * slow)
            if max(total) < _MIN_RATE_TOKENS_PER_S / 2:
                self._sums.pop(model_hash, None)
            else:
                self._sums[model_hash] = total


def make_forecast(fast, slow):
    """Return the forecast for two averages in tokens a second."""
    sustained = max(fast, slow)
    if not fast > slow > 0:
        return Forecast(fast, sustained)
    # An average of an exponentially growing rate lags behind it by its time
    # constant, so the ratio of the two averages gives the growth rate.
    growth = math.log(fast / slow) / (
        SLOW_TIME_CONSTANT_S - FAST_TIME_CONSTANT_S
    )
    confidence = (
        slow
        * SLOW_TIME_CONSTANT_S
        / (slow * SLOW_TIME_CONSTANT_S + TREND_CONFIDENCE_TOKENS)
    )
    growth = min(growth * confidence, MAX_GROWTH_PER_S)
    return Forecast(
        fast * math.exp(growth * (FORECAST_HORIZON_S + FAST_TIME_CONSTANT_S)),
        sustained,
    )
