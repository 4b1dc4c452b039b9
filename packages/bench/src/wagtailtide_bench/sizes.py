"""Deployments that are measured, and the assumed speed of their parts.

The reason for each assumption is in docs/measurements.md.
"""

import dataclasses

GB = 1_000_000_000


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Sizes of a deployment.

    Attributes:
        name: Name of the workload.
        zones: Availability zones.
        instances: Number of entry instances.
        engines: Number of model engines.
        models: Number of models.
        adapters: Number of adapters.
        organisations: Share of each organisation in the demand.
        loads_per_s: Loads that the weight store starts a second.
        parallel_loads: Loads under way at once.
        adapter_s: Shortest and longest time of an adapter fetch.
        knee: Adapter fetches in flight beyond which each takes longer.
    """

    name: str
    zones: tuple[str, ...]
    instances: int
    engines: int
    models: int
    adapters: int
    organisations: tuple[float, ...]
    loads_per_s: float
    parallel_loads: int
    adapter_s: tuple[float, float]
    knee: int


LAHORE = Deployment(
    'lahore',
    ('gulberg', 'anarkali', 'johar-town', 'shadbagh'),
    instances=16,
    engines=9,
    models=31,
    adapters=95,
    organisations=(0.40, 0.30, 0.15, 0.10, 0.05),
    loads_per_s=2.4,
    parallel_loads=12,
    adapter_s=(0.005, 0.010),
    knee=95,
)
PIEDMONT = Deployment(
    'piedmont',
    ('charlotte', 'greenville', 'atlanta'),
    instances=16,
    engines=6,
    models=26,
    adapters=65,
    organisations=(0.45, 0.25, 0.15, 0.10, 0.05),
    loads_per_s=1.6,
    parallel_loads=10,
    adapter_s=(0.005, 0.014),
    knee=80,
)
DEPLOYMENTS = {d.name: d for d in (LAHORE, PIEDMONT)}


@dataclasses.dataclass(frozen=True)
class Assumptions:
    """Speed of the fakes.

    Attributes:
        accelerators: Accelerators of an engine.
        slots: Requests that an engine batches.
        max_waiting: Requests that may wait in an engine.
        token_s: Time between tokens of a request that runs alone.
        token_growth: Share of `token_s` that each other request adds.
        prefill_token_s: Time for each prompt token that is not cached.
        memory_bytes: Memory of an engine for models.
        model_bytes: Smallest and largest size of a model.
        load_base_s: Time of a load apart from the transfer.
        load_bytes_per_s: Transfer rate of weights.
        cached_prefixes: Prompt prefixes that an engine caches.
        cached_adapters: Adapters that an engine keeps.
        report_s: Time between two load reports.
        report_lag_s: Shortest and longest age of a report on arrival.
        event_lag_s: Delay of a cache event.
        event_gap: Share of cache events that are lost.
        zone_delay_s: One-way delay between zones.
        client_delay_s: One-way delay from callers.
        utilisation: Ordinary demand as a share of what the engines can do.
        tokens: Mean generated tokens of a request.
        prompt_tokens: Mean prompt tokens of a request.
        rate_margin: Rate of an organisation over its ordinary demand.
        burst_s: Burst of an organisation in seconds of its rate.
    """

    accelerators: int = 8
    slots: int = 96
    max_waiting: int = 192
    token_s: float = 0.018
    token_growth: float = 0.018
    prefill_token_s: float = 0.0002
    memory_bytes: int = 320 * GB
    model_bytes: tuple[int, int] = (20 * GB, 60 * GB)
    load_base_s: float = 0.5
    load_bytes_per_s: float = 10.0 * GB
    cached_prefixes: int = 40
    cached_adapters: int = 24
    report_s: float = 2.0
    report_lag_s: tuple[float, float] = (0.5, 1.0)
    event_lag_s: float = 1.0
    event_gap: float = 0.1
    zone_delay_s: float = 0.0005
    client_delay_s: float = 0.001
    utilisation: float = 0.65
    tokens: float = 245.0
    prompt_tokens: float = 500.0
    rate_margin: float = 1.5
    burst_s: float = 10.0

    def token_time_s(self, running):
        """Return the time between tokens at an occupancy."""
        return self.token_s * (1 + self.token_growth * max(running - 1, 0))

    def engine_requests_per_s(self):
        """Return the requests a second that an engine can do at most."""
        prefill_s = self.prompt_tokens * self.prefill_token_s
        decode_s = self.tokens * self.token_time_s(self.slots)
        return self.slots / (prefill_s + decode_s)


ASSUMPTIONS = Assumptions()
