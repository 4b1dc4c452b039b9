"""Scenes: how demand changes and what fails."""

import dataclasses

WARM_UP_S = 30.0
DURATION_S = 90.0
# Time after the last arrival in which requests may still end.
DRAIN_S = 95.0
EVENT_AT_S = 30.0
RISE_S = 30.0
HOT_MODELS = (9, 14, 19)


@dataclasses.dataclass(frozen=True)
class Scene:
    """A scene.

    Attributes:
        name: Name on the command line.
        overload: Factor of the whole demand.
        hot_factor: Factor that the demand of a few unpopular models reaches.
        flood_factor: Factor of the demand of one middle-sized organisation.
        engine_lost: Whether one engine crashes.
        zone_lost: Whether a zone's engines and instances crash.
        store_out: Whether the object store is out from the event on.
        storm: Whether every request uses an adapter and engines keep few.
        warm_up_s: Time before the first arrival, in which buckets fill.
        duration_s: Time in which requests arrive.
    """

    name: str
    overload: float = 1.0
    hot_factor: float = 1.0
    flood_factor: float = 1.0
    engine_lost: bool = False
    zone_lost: bool = False
    store_out: bool = False
    storm: bool = False
    warm_up_s: float = WARM_UP_S
    duration_s: float = DURATION_S

    @property
    def event_at_s(self):
        """Time at which something fails."""
        return self.warm_up_s + EVENT_AT_S

    def demand_factor(self, elapsed_s):
        """Return the factor of the whole demand."""
        return self.overload if elapsed_s >= EVENT_AT_S else 1.0

    def organisation_weights(self, deployment, elapsed_s):
        """Return the weight of each organisation in the demand."""
        weights = list(deployment.organisations)
        if elapsed_s >= EVENT_AT_S:
            weights[2] *= self.flood_factor
        return weights

    def model_weights(self, shares, elapsed_s):
        """Return the weight of each model in the demand."""
        weights = list(shares)
        rise = min(1.0, max(0.0, (elapsed_s - EVENT_AT_S) / RISE_S))
        for index in HOT_MODELS:
            weights[index] *= self.hot_factor**rise
        return weights


SCENES = {
    scene.name: scene
    for scene in (
        Scene('ordinary'),
        Scene('demand-moves', hot_factor=10.0),
        Scene('flood', flood_factor=6.0),
        Scene('overload', overload=2.0),
        Scene('engine-lost', engine_lost=True),
        Scene('zone-lost', zone_lost=True),
        Scene('store-out', hot_factor=10.0, store_out=True),
        Scene('adapters', storm=True, overload=1.3),
    )
}
