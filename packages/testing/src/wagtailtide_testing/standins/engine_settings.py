"""Settings and faults of the model engine stand-in."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Settings of an engine.

    Attributes:
        name: Name of the backend server.
        memory_bytes: Accelerator memory.
        adapter_pool_bytes: Part of the memory kept for adapters; with 0 each
            adapter takes memory as a model does.
        slots: Requests that are batched together.
        max_waiting: Requests that may wait for a slot.
        token_s: Time between tokens of a request that runs alone.
        token_growth: Share of `token_s` that each other request adds.
        prefill_token_s: Time for each prompt token that is not cached.
        load_base_s: Time of a load apart from the transfer.
        load_bytes_per_s: Transfer rate of weights.
        unload_s: Time of an unload.
        adapter_knee: Adapter fetches in flight before they slow down.
        adapter_min_s: Shortest time of an adapter fetch.
        adapter_max_s: Longest time of an adapter fetch below the knee.
        adapter_bytes: Size of an adapter that is fetched on demand.
        fetches_adapters: Whether a request for an adapter that is not
            resident fetches it; otherwise the request is refused.
        checks_fences: Whether orders with an old fencing token are refused.
        fence_survives_crash: Whether the fence is known after a crash.
        refuses_overcommit: Whether a load that does not fit is refused.
        dedupes_orders: Whether an order id that is known is not run again.
        report_interval_s: Time between two load reports.
        report_lag_s: Time before a report is published.
        cache_blocks: Size of the prompt prefix cache.
        event_lag_s: Time before a cache event is published.
        event_gap_rate: Share of cache events that are lost.
        restart_s: Time after a crash in which connections are reset.
        models: Models resident at the first start, as
            ``name@version=bytes`` with commas between.
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
    """Faults that are switched on.

    Attributes:
        crash_on: Crash when a prompt with this substring runs, unless empty.
        crash: Set to true to crash now.
        down: Whether new connections are reset.
        silent: Set to true to make the open connections silent for good.
        cut_after_tokens: Tokens after which a stream is cut; -1 for never.
        cut_streams: Number of streams to cut.
        crossed_answers: Number of answers to give for another request.
        late_answers_s: Delay of each answer.
        lose_orders: Number of orders to drop without running them.
        lose_order_answers: Number of orders to run without an answer.
        delay_order_s: Delay of each order. It is carried out even if its
            client has gone by then.
        duplicate_orders: Number of orders that arrive a second time.
        duplicate_after_s: Time between the two arrivals.
        fail_loads: Number of accepted loads that fail at their end.
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
    """A request or an order that was not run.

    Attributes:
        status: HTTP status.
        kind: Kind of refusal.
        message: Reason for people.
    """

    def __init__(self, status, kind, message=''):
        super().__init__(f'{kind}: {message}')
        self.status = status
        self.kind = kind
        self.message = message

    def as_value(self):
        """Return the JSON value of the answer."""
        error = {
            'kind': self.kind,
            'message': self.message,
            'fate': 'not_run',
        }
        return {'error': error}
