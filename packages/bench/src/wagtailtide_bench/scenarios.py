"""Scenarios: how demand changes and which components fail.

The command line, the printed tables and the JSON output call them scenes.
"""

import dataclasses

WARM_UP_S = 30.0
DURATION_S = 90.0
# Time after the last arrival in which requests may still finish.
DRAIN_TIMEOUT_S = 95.0
EVENT_DELAY_S = 30.0
RAMP_S = 30.0
HOT_MODEL_INDEXES = (9, 14, 19)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Changes of demand and failures during one run.

    Attributes:
        name: Name on the command line and in results.
        overload: Factor of the total demand after the event.
        hot_factor: Factor that the demand for the HOT_MODEL_INDEXES reaches
            by the end of the ramp.
        flood_factor: Factor of the demand of one medium-sized organisation
            after the event.
        engine_crash: Whether one engine crashes at the event.
        zone_crash: Whether all engines and instances of one zone crash at
            the event.
        store_outage: Whether the object store is unavailable from the event
            on.
        adapter_heavy: Whether engines cache only a few adapters, so that most
            requests with an adapter fetch it.
        warm_up_s: Time in seconds before the first arrival, in which the rate
            limiters fill.
        duration_s: Time in seconds in which requests arrive.
    """

    name: str
    overload: float = 1.0
    hot_factor: float = 1.0
    flood_factor: float = 1.0
    engine_crash: bool = False
    zone_crash: bool = False
    store_outage: bool = False
    adapter_heavy: bool = False
    warm_up_s: float = WARM_UP_S
    duration_s: float = DURATION_S

    @property
    def event_at_s(self):
        """Virtual time in seconds at which components fail."""
        return self.warm_up_s + EVENT_DELAY_S

    def demand_factor(self, elapsed_s):
        """Return the factor of the total demand.

        Args:
            elapsed_s: Time in seconds since the warm-up.
        """
        return self.overload if elapsed_s >= EVENT_DELAY_S else 1.0

    def organisation_weights(self, deployment, elapsed_s):
        """Return the weight of each organisation in the demand.

        Args:
            deployment: The Deployment.
            elapsed_s: Time in seconds since the warm-up.
        """
        weights = list(deployment.organisations)
        if elapsed_s >= EVENT_DELAY_S:
            weights[2] *= self.flood_factor
        return weights

    def model_weights(self, demand_shares, elapsed_s):
        """Return the weight of each model in the demand.

        Args:
            demand_shares: Ordinary share of each model in the demand.
            elapsed_s: Time in seconds since the warm-up.
        """
        weights = list(demand_shares)
        ramp = min(1.0, max(0.0, (elapsed_s - EVENT_DELAY_S) / RAMP_S))
        for index in HOT_MODEL_INDEXES:
            weights[index] *= self.hot_factor**ramp
        return weights


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario('ordinary'),
        Scenario('demand-moves', hot_factor=10.0),
        Scenario('flood', flood_factor=6.0),
        Scenario('overload', overload=2.0),
        Scenario('engine-lost', engine_crash=True),
        Scenario('zone-lost', zone_crash=True),
        Scenario('store-out', hot_factor=10.0, store_outage=True),
        Scenario('adapters', adapter_heavy=True, overload=1.3),
    )
}
