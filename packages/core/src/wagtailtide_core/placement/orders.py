"""Orders to model engines and the reports that settle them."""

import dataclasses
import enum


class OrderKind(enum.StrEnum):
    """What an engine is told to do."""

    LOAD = 'load'
    UNLOAD = 'unload'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_ROLE = 'set_role'


class OrderState(enum.StrEnum):
    """What the owner knows of an order."""

    # Sent, no response yet.
    SENT = 'sent'
    # The engine took it; its report shows the end.
    ACCEPTED = 'accepted'
    # The engine refused it.
    REFUSED = 'refused'
    # No response: it may still arrive, even after it was repeated.
    UNKNOWN = 'unknown'


class ResidencyState(enum.StrEnum):
    """State of a model in an engine's report."""

    LOADING = 'loading'
    READY = 'ready'
    UNLOADING = 'unloading'


@dataclasses.dataclass(frozen=True)
class Order:
    """An order of the owner.

    Attributes:
        order_id: Unique id.
        fence: Fencing token of the owner.
        kind: What the engine is told to do.
        model: Model and version, as ``name@version``.
        size_bytes: Accelerator memory of the model.
        sent_seq: Sequence number of the last report before it was sent.
        sent_at_s: Time at which it was sent, on the owner's clock.
        state: What is known of it.
    """

    order_id: str
    fence: int
    kind: OrderKind
    model: str
    size_bytes: int
    sent_seq: int
    sent_at_s: float
    state: OrderState = OrderState.SENT


@dataclasses.dataclass(frozen=True)
class Residency:
    """A model in an engine's report."""

    model: str
    state: ResidencyState
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's report.

    Attributes:
        boot_id: Changes when the engine restarts; its memory is then empty.
        seq: Increases with each report of one boot.
        fence: Highest fencing token that the engine has accepted.
        residencies: Models in memory or on their way.
        ended_orders: Ids of orders that were carried out, refused or failed.
        taken_at_s: Latest time at which the owner knows that the report had
            not yet been taken, on the owner's clock: when it asked for it,
            less the lag that the report states.
    """

    boot_id: str
    seq: int
    fence: int
    residencies: tuple[Residency, ...]
    ended_orders: frozenset[str]
    taken_at_s: float
