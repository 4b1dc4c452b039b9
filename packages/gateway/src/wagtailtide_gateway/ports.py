"""Ports: pure functions that translate between gateway and platform."""

from collections.abc import Callable
import dataclasses

# What decoders of a platform's values raise for malformed ones. An infinite
# number, which is valid JSON for Python, cannot be made an integer; a value
# may lack what is read of it, or be nested too deeply.
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    OverflowError,
    AttributeError,
    RecursionError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request that the gateway itself sends."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Decoded head of a backend server's response.

    Attributes:
        status: HTTP status.
        attempt_id: Id of the attempt that it responds to, or None if it
            states none.
        not_run: Whether the server states that it did not run the request.
        misdirected: Whether the server is not the expected one, or does not
            have the model or adapter.
        signed: Whether the response carries the server's signature.
        weights_version: Version of the weights, or None.
        stated_limit_per_s: Requests a second that the server takes from all
            instances together, or None if it states no limit.
        states_leaving: Whether the server states that it is leaving.
        stated_pause_s: Seconds for which the server wants no requests from
            this instance, or None if it states no pause.
        cold_remaining_s: Seconds for which the server states that it is still
            cold, or None.
        tolerated_rejections: Rejections in a second beyond which the server
            states that it falls over, or None if it is not brittle.
        headers: Headers to forward to the caller.
    """

    status: int
    attempt_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    weights_version: str | None
    stated_limit_per_s: float | None
    states_leaving: bool
    stated_pause_s: float | None
    cold_remaining_s: float | None
    tolerated_rejections: float | None
    headers: tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerPort:
    """The protocol of callers.

    Attributes:
        decode: From an IncomingRequest to a CallerRequest; raises
            ServingError.
        encode_error: From a ServingError to status, headers and body.
        ready_path: Path at which the load balancer checks readiness.
    """

    decode: Callable
    encode_error: Callable
    ready_path: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendPort:
    """The protocol of backend servers.

    Attributes:
        request_headers: From a CallerRequest and a Dispatch to headers.
        decode_response_head: From status and headers to a ResponseHead.
        encode_order: From an Order and a server id to the Call that sends it.
        report_call: Call that requests the report of an engine.
        decode_report: From a body to an EngineReport; raises ValueError,
            KeyError or TypeError.
    """

    request_headers: Callable
    decode_response_head: Callable
    encode_order: Callable
    report_call: Call
    decode_report: Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Parameters of one attempt at a backend server.

    Attributes:
        server_id: Id of the server that has to run the request.
        organisation: Name of the caller's organisation, or None.
        time_left_s: Seconds that the server may take.
        urgency: Priority at the server, 0 is the most urgent.
        resume_after: Id of the last event that the caller has, or None.
        weights_version: Required version of the weights, or None.
    """

    server_id: str
    organisation: str | None
    time_left_s: float
    urgency: int
    resume_after: str | None
    weights_version: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
        name: Its name, unique within its kind.
        revision: Revision of its last change. The StorePort returns the
            store's own number, the StoreClient adds the era, see `store_era`.
        value: Its decoded value, or None if it cannot be decoded.
        problem: Why its value cannot be decoded, or None.
    """

    name: str
    revision: int
    value: object
    problem: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of an object, as reported by a watch."""

    object: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StorePort:
    """The protocol of the store.

    Attributes:
        list_call: From kind and the last name of the previous page, or None,
            to a Call.
        watch_call: From kind, revision and the longest wait in seconds to a
            Call.
        get_call: From kind and name to a Call.
        create_call: From kind, name and value to a Call.
        replace_call: From kind, name, value and revision to a Call.
        decode_list: From a kind and a body to (objects, has_more, revision).
        decode_watch: From a body to (changes, revision).
        decode_object: From a body to a StoredObject.
        decode_era: From the headers of an answer to the era of the store, an
            integer of at least 0, or None if they state none.
        config_kind: Kind of configuration objects.
        config_name: Name of the configuration object in use.
        servers_kind: Kind of the backend servers' entries.
        lease_kind: Kind of the leader's lease object.
        origins_kind: Kind of the objects with what began the streams.
        evacuations_kind: Kind of the objects that evacuate the availability
            zones that they are named as.
        decode_config: From a value to a Deployment; raises ValueError,
            KeyError or TypeError.
        decode_server: From a StoredObject to a BackendServer; raises
            ValueError, KeyError or TypeError.
    """

    list_call: Callable
    watch_call: Callable
    get_call: Callable
    create_call: Callable
    replace_call: Callable
    decode_list: Callable
    decode_watch: Callable
    decode_object: Callable
    decode_era: Callable
    config_kind: str
    config_name: str
    servers_kind: str
    lease_kind: str
    origins_kind: str
    evacuations_kind: str
    decode_config: Callable
    decode_server: Callable
