"""Simulated deployments and the assumed speed of their components.

The reason for each assumption is in docs/measurements.md.
"""

import dataclasses

GB = 1_000_000_000


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size and limits of a deployment.

    Attributes:
        name: Name on the command line and in results.
        zones: Names of the availability zones.
        instances: Number of instances that accept requests.
        engines: Number of model engines.
        models: Number of models.
        adapters: Number of adapters.
        organisations: Share of each organisation in the demand, largest
            first.
        loads_per_s: Model loads that the weight store starts per second.
        parallel_loads: Model loads that may run at once.
        adapter_fetch_s: Shortest and longest time of an adapter fetch in
            seconds.
        adapter_knee: Concurrent adapter fetches above which each takes
            longer.
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
    adapter_fetch_s: tuple[float, float]
    adapter_knee: int


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
    adapter_fetch_s=(0.005, 0.010),
    adapter_knee=95,
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
    adapter_fetch_s=(0.005, 0.014),
    adapter_knee=80,
)
DEPLOYMENTS = {d.name: d for d in (LAHORE, PIEDMONT)}


@dataclasses.dataclass(frozen=True)
class Assumptions:
    """Assumed speed and capacity of the simulated components.

    Attributes:
        accelerators: Accelerators per engine.
        slots: Requests that an engine runs in one batch.
        max_waiting: Limit of an engine's queue.
        token_s: Time in seconds between tokens of a request that runs alone.
        token_growth: Share of `token_s` that each further running request
            adds.
        prefill_token_s: Time in seconds for each prompt token that is not
            cached.
        memory_bytes: Memory of an engine for model weights and their caches.
        model_bytes: Smallest and largest size of a model in bytes.
        load_base_s: Time of a model load in seconds without the transfer.
        load_bytes_per_s: Transfer rate of the weights.
        cached_prefixes: Limit of prompt prefixes that an engine caches.
        cached_adapters: Limit of adapters that an engine caches.
        report_interval_s: Time in seconds between two load reports.
        report_lag_s: Shortest and longest delay of a load report in seconds.
        event_lag_s: Delay of a cache event in seconds.
        event_loss_rate: Share of cache events that are lost.
        zone_delay_s: One-way network delay between zones in seconds.
        client_delay_s: One-way network delay to callers in seconds.
        utilisation: Ordinary demand as a share of the engines' capacity.
        output_tokens: Mean number of tokens that a request generates.
        prompt_tokens: Mean length of a prompt in tokens.
        rate_margin: Ratio of an organisation's rate limit to its ordinary
            demand.
        burst_s: Burst of an organisation in seconds of its rate limit.
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
    report_interval_s: float = 2.0
    report_lag_s: tuple[float, float] = (0.5, 1.0)
    event_lag_s: float = 1.0
    event_loss_rate: float = 0.1
    zone_delay_s: float = 0.0005
    client_delay_s: float = 0.001
    utilisation: float = 0.65
    output_tokens: float = 245.0
    prompt_tokens: float = 500.0
    rate_margin: float = 1.5
    burst_s: float = 10.0

    def token_time_s(self, running):
        """Return the time in seconds between tokens.

        Args:
            running: Number of running requests of the engine.
        """
        return self.token_s * (1 + self.token_growth * max(running - 1, 0))

    def engine_requests_per_s(self):
        """Return the throughput of a full engine in requests per second."""
        prefill_s = self.prompt_tokens * self.prefill_token_s
        decode_s = self.output_tokens * self.token_time_s(self.slots)
        return self.slots / (prefill_s + decode_s)


ASSUMPTIONS = Assumptions()
