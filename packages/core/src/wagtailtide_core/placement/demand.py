"""Demand for each model, from what every instance counts itself.

Instances spread decayed rates as compact gossip records. Two time constants
show whether demand grows, which gives a forecast for the time that a load
takes: demand may change tenfold within an hour.
"""

import dataclasses
import math
import struct

import xxhash

from wagtailtide_core.membership import overlay

FAST_S = 30.0
SLOW_S = 300.0
# Time from a decision until a replica serves: queueing for the weight store,
# the load itself, and news of it.
AHEAD_S = 120.0
# Growth above tenfold in ten minutes is taken for noise.
MAX_GROWTH_PER_S = math.log(10) / 600.0
# Tokens in the slow average below which a growth rate says little.
FIRM_TOKENS = 2_000.0

# At 390 instances all records of all instances would fill the gossip budget;
# the fleet's demand is estimated from this many instances.
REPORTERS = 32
SPREAD_EVERY_S = 20.0
# A record older than this is of an instance whose callers are elsewhere now.
RECORD_TTL_S = 60.0
MAX_ENTRIES = 200

_ENTRY = struct.Struct('>IBB')
_STEPS_PER_DOUBLING = 8
_LOWEST_RATE = 2.0**-10


def hash_model(model):
    """Return the number that stands for a model in records."""
    return xxhash.xxh32_intdigest(model.encode())


def is_reporter(name, live_names):
    """Tell whether an instance spreads its demand.

    Args:
        name: Name of the instance.
        live_names: Names of the live instances.
    """
    if len(live_names) <= REPORTERS:
        return True
    return name in overlay.rendezvous('demand', live_names, REPORTERS)


@dataclasses.dataclass
class Rate:
    """Decayed rate in tokens a second, over a short and a long time."""

    fast: float = 0.0
    slow: float = 0.0
    at: float = 0.0

    def decay(self, now):
        """Let the rates decay to the present."""
        elapsed_s = max(0.0, now - self.at)
        self.fast *= math.exp(-elapsed_s / FAST_S)
        self.slow *= math.exp(-elapsed_s / SLOW_S)
        self.at = max(now, self.at)

    def add(self, tokens, now):
        """Count tokens of a request."""
        self.decay(now)
        self.fast += tokens / FAST_S
        self.slow += tokens / SLOW_S


class Meter:
    """Demand that one instance sees."""

    def __init__(self):
        self._rates = {}

    def record(self, model, tokens, now):
        """Count a request when it arrives, whether or not it is served.

        Args:
            model: Model, as ``name@version``.
            tokens: Estimated tokens of the request.
            now: Current time in seconds.
        """
        rate = self._rates.setdefault(model, Rate(at=now))
        rate.add(tokens, now)

    def value(self, now):
        """Return the value of this instance's record, and drop idle models."""
        for model, rate in tuple(self._rates.items()):
            rate.decay(now)
            if rate.slow < _LOWEST_RATE:
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
    if rate <= _LOWEST_RATE:
        return 0
    level = _STEPS_PER_DOUBLING * math.log2(rate / _LOWEST_RATE)
    return min(255, max(1, round(level)))


def _restore(level):
    return _LOWEST_RATE * 2 ** (level / _STEPS_PER_DOUBLING) if level else 0.0


def parse(value):
    """Return the rates of a record as ``{model hash: (fast, slow)}``.

    Raises:
        ValueError: If the value has another form.
    """
    if not isinstance(value, bytes) or len(value) % _ENTRY.size:
        raise ValueError('expected whole demand entries')
    return {
        number: (_restore(fast), _restore(slow))
        for number, fast, slow in _ENTRY.iter_unpack(value)
    }


@dataclasses.dataclass(frozen=True)
class Forecast:
    """Demand for a model in tokens a second over the whole fleet.

    Attributes:
        ahead: Expected once a load that is decided now has finished.
        lasting: The higher of the recent and the longer average; capacity
            below it is not given up.
    """

    ahead: float
    lasting: float


NONE = Forecast(0.0, 0.0)


class FleetDemand:
    """Sum of the demand that the reporting instances spread.

    The sums are changed by each record, so that reading a forecast costs the
    same at any number of instances.
    """

    def __init__(self):
        self._parts = {}
        self._sums = {}

    def apply(self, instance, value, age_s, now):
        """Take over an instance's record; a malformed one is ignored.

        Returns:
            Whether the record was well formed.
        """
        try:
            entries = parse(value)
        except ValueError:
            return False
        self.forget(instance)
        self._parts[instance] = (entries, now - age_s)
        self._add(entries, 1.0)
        return True

    def forget(self, instance):
        """Drop an instance's record."""
        entries, _ = self._parts.pop(instance, ({}, 0.0))
        self._add(entries, -1.0)

    def drop_expired(self, now):
        """Drop records that were not renewed."""
        for instance, (_, as_of) in tuple(self._parts.items()):
            if now - as_of >= RECORD_TTL_S:
                self.forget(instance)
        if not self._parts:
            # Rounding errors must not pass for demand.
            self._sums.clear()

    def forecast(self, model, live_instances):
        """Return the forecast for a model.

        Args:
            model: Model, as ``name@version``.
            live_instances: Number of live instances.
        """
        fast, slow = self._sums.get(hash_model(model), (0.0, 0.0))
        if not self._parts or max(fast, slow) < _LOWEST_RATE:
            return NONE
        scale = max(1.0, live_instances / len(self._parts))
        return make_forecast(fast * scale, slow * scale)

    def _add(self, entries, sign):
        for number, (fast, slow) in entries.items():
            known_fast, known_slow = self._sums.get(number, (0.0, 0.0))
            total = (known_fast + sign * fast, known_slow + sign * slow)
            if max(total) < _LOWEST_RATE / 2:
                self._sums.pop(number, None)
            else:
                self._sums[number] = total


def make_forecast(fast, slow):
    """Return the forecast for two averages, in tokens a second."""
    lasting = max(fast, slow)
    if not fast > slow > 0:
        return Forecast(fast, lasting)
    # Averages of a rate that grows exponentially lag by their time constants.
    growth = math.log(fast / slow) / (SLOW_S - FAST_S)
    firm = slow * SLOW_S / (slow * SLOW_S + FIRM_TOKENS)
    growth = min(growth * firm, MAX_GROWTH_PER_S)
    return Forecast(fast * math.exp(growth * (AHEAD_S + FAST_S)), lasting)
