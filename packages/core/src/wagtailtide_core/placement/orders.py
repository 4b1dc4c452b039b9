"""Orders to model engines, and the reports that show their outcome."""

import dataclasses
import enum


class OrderKind(enum.StrEnum):
    """Action that an engine is ordered to take."""

    LOAD = 'load'
    UNLOAD = 'unload'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_ROLE = 'set_role'


class OrderState(enum.StrEnum):
    """State of an order, as far as its owner knows it."""

    # Sent; no response yet.
    SENT = 'sent'
    # The engine accepted it; a report shows its end.
    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    # No response: it may still arrive, even after it was sent again.
    UNKNOWN = 'unknown'


class ResidencyState(enum.StrEnum):
    """State of a model in an engine's report."""

    LOADING = 'loading'
    READY = 'ready'
    UNLOADING = 'unloading'


@dataclasses.dataclass(frozen=True)
class Order:
    """An order of an engine's owner.

    Attributes:
        order_id: Unique id.
        fence: Fencing token of the owner.
        kind: Action to take.
        model: Model and version, as ``name@version``.
        size_bytes: Accelerator memory of the model.
        sent_seq: Sequence number of the last report before the order was sent.
        sent_at_s: Time in seconds at which it was sent, by the owner's clock.
        state: State of the order, as far as it is known.
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
    """A model in an engine's report; the model is ``name@version``."""

    model: str
    state: ResidencyState
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's report.

    Attributes:
        boot_id: Id of the engine's process; a restart empties its memory.
        seq: Sequence number, which increases with each report of one boot.
        fence: Highest fencing token that the engine has accepted.
        residencies: Models that are in memory, loading or unloading.
        ended_orders: Ids of orders that were completed, refused or failed.
        taken_at_s: Lower bound of the time in seconds at which the report was
            taken, by the owner's clock: the time of the owner's request less
            the lag that the report states.
    """

    boot_id: str
    seq: int
    fence: int
    residencies: tuple[Residency, ...]
    ended_orders: frozenset[str]
    taken_at_s: float
