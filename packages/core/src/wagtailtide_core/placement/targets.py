"""Target number of replicas of each model, and backoff of failed loads."""

import dataclasses
import math

from wagtailtide_core.document import capacity
from wagtailtide_core.document import schema
from wagtailtide_core.placement import demand

# A replica is added when utilisation exceeds the first value, and removed when
# the others would stay below the second value throughout the delay. The gap
# between the two and the delay prevent replicas from being loaded and unloaded
# with each burst.
SCALE_UP_UTILISATION = 0.8
SCALE_DOWN_UTILISATION = 0.5
SCALE_DOWN_DELAY_S = 300.0

# Below this demand a model is idle and keeps only its minimum of replicas.
IDLE_TOKENS_PER_S = 0.5

# A replica is moved only if the unmet demand over the payback time exceeds the
# tokens that a replica could generate in the time that the move takes.
PAYBACK_S = 120.0
MOVE_DURATION_S = 30.0

BACKOFF_MIN_S = 10.0
BACKOFF_MAX_S = 600.0


@dataclasses.dataclass(frozen=True)
class Need:
    """A model and the demand for it.

    Attributes:
        model: Declaration of the model.
        forecast: Forecast of the demand for it.
    """

    model: schema.Model
    forecast: demand.Forecast = demand.NO_DEMAND

    @property
    def key(self):
        """The model as ``name@version``."""
        return model_key(self.model)

    @property
    def size_bytes(self):
        """Accelerator memory of a replica."""
        return capacity.model_bytes(self.model)


def model_key(model):
    """Return the key of a model version, ``name@version``."""
    return f'{model.name}@{model.version}'


class Targets:
    """Target number of replicas by model, with hysteresis."""

    def __init__(self, replica_tokens_per_s):
        """Create the targets.

        Args:
            replica_tokens_per_s: Tokens a second that a replica generates
                within the latency targets.
        """
        self.replica_tokens_per_s = replica_tokens_per_s
        self._targets = {}
        self._excess_since = {}

    def get(self, key):
        """Return the target number of replicas of a model."""
        return self._targets.get(key, 0)

    def update(self, need, now):
        """Update the target number of replicas of a model and return it."""
        key = need.key
        forecast = need.forecast
        floor = need.model.min_replicas
        if forecast.sustained >= IDLE_TOKENS_PER_S:
            floor = max(floor, 1)
        scale_up = self._replicas_for(
            forecast.predicted, SCALE_UP_UTILISATION, floor
        )
        scale_down = self._replicas_for(
            forecast.sustained, SCALE_DOWN_UTILISATION, floor
        )
        current = self._targets.get(key, floor)
        if scale_up >= current or scale_down >= current:
            self._excess_since.pop(key, None)
            current = max(scale_up, current)
        elif (
            now - self._excess_since.setdefault(key, now) >= SCALE_DOWN_DELAY_S
        ):
            del self._excess_since[key]
            current = max(scale_up, scale_down)
        self._targets[key] = current
        return current

    def _replicas_for(self, tokens_per_s, utilisation, floor):
        if tokens_per_s < IDLE_TOKENS_PER_S:
            return floor
        tokens_per_replica = self.replica_tokens_per_s * utilisation
        return max(floor, math.ceil(tokens_per_s / tokens_per_replica))

    def outweighs_move(self, need, replicas):
        """Tell whether one more replica justifies unloading another model.

        Args:
            need: Need of the model.
            replicas: Number of replicas that the model has.
        """
        met = replicas * self.replica_tokens_per_s * SCALE_UP_UTILISATION
        unmet = need.forecast.predicted - met
        return unmet * PAYBACK_S > self.replica_tokens_per_s * MOVE_DURATION_S


class LoadFailures:
    """Exponential backoff of failed loads, by server and model."""

    def __init__(self):
        self._failures = {}

    def record_failure(self, server, model, now):
        """Count a failed load."""
        count, _ = self._failures.get((server, model), (0, 0.0))
        delay_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(count, 10))
        self._failures[server, model] = (count + 1, now + delay_s)

    def record_success(self, server, model):
        """Clear the failures of a load that succeeded."""
        self._failures.pop((server, model), None)

    def in_backoff(self, server, now):
        """Return the models that must not be loaded on a server yet."""
        return frozenset(
            model
            for (name, model), (_, until) in self._failures.items()
            if name == server and now < until
        )
