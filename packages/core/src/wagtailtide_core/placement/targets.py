"""Number of replicas of each model and backoff after failed loads."""

import dataclasses
import math

from wagtailtide_core.document import capacity
from wagtailtide_core.document import schema
from wagtailtide_core.placement import demand

# Share of a replica's tokens a second at which another one is added, and the
# share at which the others would still do without one. The distance between
# them and the hold time keep replicas from coming and going with each burst.
ADD_SHARE = 0.8
DROP_SHARE = 0.5
HOLD_S = 300.0

# A model without a minimum of replicas is idle below this demand.
IDLE_TOKENS_PER_S = 0.5

# Demand that goes unmet for this time has to outweigh what a replica could
# generate in the time of a move.
PAYBACK_S = 120.0
MOVE_S = 30.0

BACKOFF_MIN_S = 10.0
BACKOFF_MAX_S = 600.0


@dataclasses.dataclass(frozen=True)
class Need:
    """A model and the demand for it.

    Attributes:
        model: Declaration of the model.
        forecast: Forecast of its demand.
    """

    model: schema.Model
    forecast: demand.Forecast = demand.NONE

    @property
    def key(self):
        """The model as ``name@version``."""
        return key_of(self.model)

    @property
    def size_bytes(self):
        """Accelerator memory of a replica."""
        return capacity.model_bytes(self.model)


def key_of(model):
    """Return a model version as ``name@version``."""
    return f'{model.name}@{model.version}'


class Targets:
    """Wanted number of replicas by model, with hysteresis."""

    def __init__(self, replica_tokens_per_s):
        """Create the targets.

        Args:
            replica_tokens_per_s: Tokens a second that a replica generates
                within the latency targets.
        """
        self.replica_tokens_per_s = replica_tokens_per_s
        self._targets = {}
        self._above_since = {}

    def get(self, key):
        """Return the wanted number of replicas."""
        return self._targets.get(key, 0)

    def update(self, need, now):
        """Bring the wanted number up to date and return it."""
        key = need.key
        forecast = need.forecast
        floor = need.model.min_replicas
        if forecast.lasting >= IDLE_TOKENS_PER_S:
            floor = max(floor, 1)
        rise = self._replicas(forecast.ahead, ADD_SHARE, floor)
        fall = self._replicas(forecast.lasting, DROP_SHARE, floor)
        current = self._targets.get(key, floor)
        if rise >= current or fall >= current:
            self._above_since.pop(key, None)
            current = max(rise, current)
        elif now - self._above_since.setdefault(key, now) >= HOLD_S:
            del self._above_since[key]
            current = max(rise, fall)
        self._targets[key] = current
        return current

    def _replicas(self, tokens_per_s, share, floor):
        if tokens_per_s < IDLE_TOKENS_PER_S:
            return floor
        each = self.replica_tokens_per_s * share
        return max(floor, math.ceil(tokens_per_s / each))

    def pays(self, need, replicas):
        """Tell whether another replica is worth unloading one of a model."""
        met = replicas * self.replica_tokens_per_s * ADD_SHARE
        unmet = need.forecast.ahead - met
        return unmet * PAYBACK_S > self.replica_tokens_per_s * MOVE_S


class LoadFailures:
    """Backoff of each model on each server where its load failed."""

    def __init__(self):
        self._failures = {}

    def record_failure(self, server, model, now):
        """Count a failed load."""
        count, _ = self._failures.get((server, model), (0, 0.0))
        delay_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(count, 10))
        self._failures[server, model] = (count + 1, now + delay_s)

    def record_success(self, server, model):
        """Forget the failures of a load that succeeded."""
        self._failures.pop((server, model), None)

    def failing(self, server, now):
        """Return the models that must not be loaded on a server yet."""
        return frozenset(
            model
            for (name, model), (_, until) in self._failures.items()
            if name == server and now < until
        )
