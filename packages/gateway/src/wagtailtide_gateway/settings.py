"""What a process of the gateway is told at its start."""

import dataclasses

from wagtailtide_gateway.model import backend


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one instance, whatever format they came in.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        callers: Where it takes requests.
        readiness: Where it answers the balancer.
        peers: Where it takes calls of other instances.
        admin: Where it serves metrics and its dump.
        store: Where the store listens.
        stop_s: Seconds from the request to stop to the kill.
        key_withdrawal_s: Seconds after which a withdrawn key is dead.
        server_drain_s: Seconds after which a leaving server gets no work.
        lease_s: Shortest time between two holders of a duty.
        retry_ratio: Repeats allowed for each request.
        retry_slack: Repeats allowed besides, over all instances.
        retry_window_s: Window of the two.
        load_window_s: Window of the weight store's rate.
    """

    instance: str
    zone: str
    callers: backend.Address
    readiness: backend.Address
    peers: backend.Address
    admin: backend.Address
    store: backend.Address
    stop_s: float
    key_withdrawal_s: float
    server_drain_s: float
    lease_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    load_window_s: float
