"""Settings of a gateway process."""

import dataclasses

from wagtailtide_gateway.model import backend

# Largest object of the store in bytes, unless the settings state another.
STORE_VALUE_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one instance, independent of the file format.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        callers: Address at which it accepts callers' requests.
        readiness: Address at which the load balancer checks readiness.
        peers: Address at which it accepts calls of other instances.
        admin: Address at which it serves metrics and its state dump.
        store: Address of the store.
        stop_s: Seconds between the stop signal and the kill.
        key_withdrawal_s: Seconds after which a withdrawn key must no longer
            be accepted.
        server_drain_s: Seconds after which a leaving server must no longer
            get new requests.
        lease_s: Duration of the leader's lease in seconds. Another instance
            may take over a lease that was not renewed for this long.
        retry_ratio: Retries allowed per request of a service.
        retry_slack: Further retries allowed, over all instances.
        retry_window_s: Sliding window in seconds in which requests and
            retries are counted.
        load_window_s: Window of the weight store's load rate in seconds.
        cpu_cores: Processor time that the instance may use, in cores.
        link_mbps: Rate of its network link in Mbit/s.
        evacuation_s: Seconds after which no request may reach a server in an
            evacuated zone, None if zones cannot be evacuated.
        learns_capacity: Whether the load that each server sustains is learned
            from its responses.
        limits_engine_memory: Whether requests go only to engines that have
            memory for their tokens.
        cold_overage: Factor by which a cold server may get more requests in
            one second than its service states, None for no cold limit.
        cold_slack: Further requests that it may get in one second, or None.
        schedules_shares: Whether waiting requests are ordered by the shares of
            their organisations, over all instances.
        divides_slots: Whether the slots of engines are divided between
            requests of different priority; needs `schedules_shares`.
        memory_bytes: Memory of the machine, None if it is not stated.
        sockets: Number of sockets that the process may open, or None.
        store_value_bytes: Largest object that the store accepts, in bytes.
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
    cpu_cores: float
    link_mbps: float
    evacuation_s: float | None = None
    learns_capacity: bool = False
    limits_engine_memory: bool = False
    cold_overage: float | None = None
    cold_slack: float | None = None
    schedules_shares: bool = False
    divides_slots: bool = False
    memory_bytes: int | None = None
    sockets: int | None = None
    store_value_bytes: int = STORE_VALUE_BYTES
