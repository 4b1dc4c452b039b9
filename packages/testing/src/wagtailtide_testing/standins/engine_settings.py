"""Settings and faults of the model engine stand-in."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Settings of an engine. Times are in seconds.

    Attributes:
        name: Name of the backend server.
        memory_bytes: Accelerator memory.
        adapter_pool_bytes: Memory reserved for adapters; if 0, adapters are
            allocated from the same memory as models.
        slots: Maximum number of requests in a batch.
        max_waiting: Maximum number of requests that wait for a slot.
        token_s: Time between two tokens of a request that runs alone.
        token_growth: Fraction of `token_s` added by each other running
            request.
        prefill_token_s: Prefill time of each uncached prompt token.
        load_base_s: Time of a load without the transfer of the weights.
        load_bytes_per_s: Transfer rate of the weights.
        unload_s: Minimum time of an unload.
        adapter_knee: Number of adapter fetches in flight above which each
            fetch takes longer.
        adapter_min_s: Minimum time of an adapter fetch.
        adapter_max_s: Maximum time of an adapter fetch with at most
            `adapter_knee` fetches in flight.
        adapter_bytes: Size of an adapter that is fetched on demand.
        fetches_adapters: Whether an adapter that is not resident is fetched
            on demand; otherwise the request is refused.
        checks_fences: Whether orders with an outdated fencing token are
            refused.
        fence_survives_crash: Whether the highest fencing token is still
            known after a crash.
        refuses_overcommit: Whether a load that exceeds the memory is refused.
        dedupes_orders: Whether an order with a known order id is not run
            again.
        report_interval_s: Time between two reports.
        report_lag_s: Delay of the publication of a report.
        cache_blocks: Capacity of the prompt prefix cache in blocks.
        event_lag_s: Delay of the publication of a cache event.
        event_gap_rate: Fraction of cache events that are lost, 0 to 1.
        restart_s: Time after a crash during which connections are reset.
        models: Models resident at the first start, as comma-separated
            ``name@version=bytes``.
        role: Initial role.
    """

    name: str = 'engine'
    memory_bytes: int = 80_000_000_000
    adapter_pool_bytes: int = 0
    slots: int = 8
    max_waiting: int = 64
    token_s: float = 0.02
    token_growth: float = 0.03
    prefill_token_s: float = 0.0002
    load_base_s: float = 0.5
    load_bytes_per_s: float = 10_000_000_000.0
    unload_s: float = 0.2
    adapter_knee: int = 80
    adapter_min_s: float = 0.005
    adapter_max_s: float = 0.010
    adapter_bytes: int = 100_000_000
    fetches_adapters: bool = False
    checks_fences: bool = True
    fence_survives_crash: bool = True
    refuses_overcommit: bool = True
    dedupes_orders: bool = True
    report_interval_s: float = 0.5
    report_lag_s: float = 0.5
    cache_blocks: int = 4_096
    event_lag_s: float = 1.0
    event_gap_rate: float = 0.0
    restart_s: float = 0.0
    models: str = ''
    role: str = 'mixed'


@dataclasses.dataclass
class EngineFaults:
    """Active faults of an engine. Times are in seconds.

    Attributes:
        crash_on: Crash when a prompt with this substring runs; empty for
            never.
        crash: Set to true to crash once, immediately.
        down: Whether new connections are reset.
        silent: Set to true to make the open connections silent permanently.
        cut_after_tokens: Number of tokens sent before one of `cut_streams`
            streams is cut; a negative number counts as 0.
        cut_streams: Number of streams to cut.
        crossed_answers: Number of responses to send that belong to another
            request.
        late_answers_s: Delay before each completion is admitted; other
            requests are not delayed.
        lose_orders: Number of orders to drop before they are run.
        lose_order_answers: Number of orders to run without a response.
        delay_order_s: Delay before each order is run. It is run even if the
            client has disconnected by then.
        duplicate_orders: Number of orders to run a second time.
        duplicate_after_s: Time between the two runs.
        fail_loads: Number of accepted loads that fail when they end.
        draining: Whether new requests are refused with fate `not_run`.
    """

    crash_on: str = ''
    crash: bool = False
    down: bool = False
    silent: bool = False
    cut_after_tokens: int = -1
    cut_streams: int = 0
    crossed_answers: int = 0
    late_answers_s: float = 0.0
    lose_orders: int = 0
    lose_order_answers: int = 0
    delay_order_s: float = 0.0
    duplicate_orders: int = 0
    duplicate_after_s: float = 1.0
    fail_loads: int = 0
    draining: bool = False


class Refusal(Exception):
    """Raised when a request or an order is refused and was not run.

    Attributes:
        status: HTTP status.
        kind: Kind of refusal, for programs.
        message: Reason, for people.
    """

    def __init__(self, status, kind, message=''):
        super().__init__(f'{kind}: {message}')
        self.status = status
        self.kind = kind
        self.message = message

    def as_value(self):
        """Return the JSON body of the response."""
        error = {
            'kind': self.kind,
            'message': self.message,
            'fate': 'not_run',
        }
        return {'error': error}
