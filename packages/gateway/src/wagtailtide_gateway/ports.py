"""Translations that a platform supplies, each a set of pure functions."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request of the gateway itself."""

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
        headers: Headers to forward to the caller.
    """

    status: int
    attempt_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    weights_version: str | None
    headers: tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerPort:
    """The protocol of callers.

    Attributes:
        decode: From an h11.Request and a body to a CallerRequest; raises
            ServingError.
        refusal: From a ServingError to status, headers and body.
        ready_path: Path at which the balancer asks for readiness.
    """

    decode: Callable
    refusal: Callable
    ready_path: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendPort:
    """The protocol of backend servers.

    Attributes:
        request_headers: From a CallerRequest and a Dispatch to headers.
        answer_head: From status and headers to an AnswerHead.
        order: From an Order and a server id to a Call.
        report: Call that asks an engine for its report.
        decode_report: From a body to an EngineReport; raises ValueError.
    """

    request_headers: Callable
    decode_response_head: Callable
    order: Callable
    report: Call
    decode_report: Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """How a request is passed on to a backend server.

    Attributes:
        server_id: Server that has to run it.
        organisation: Name of the caller's organisation, or None.
        time_left_s: Seconds that the server may take.
        urgency: Rank at the server, 0 is first.
        resume_after: Last event that the caller has, or None.
        weights_version: Version that the weights must have, or None.
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
        name: Its name within its kind.
        revision: Revision of its last change.
        value: Its value, decoded, or None if it cannot be read.
    """

    name: str
    revision: int
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of an object that a watch saw."""

    object: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StorePort:
    """The protocol of the store.

    Attributes:
        list_call: From kind and the last name seen to a Call.
        watch_call: From kind, revision and seconds to a Call.
        get_call: From kind and name to a Call.
        create_call: From kind, name and value to a Call.
        replace_call: From kind, name, value and revision to a Call.
        decode_list: From a body to (objects, whether more follow, revision).
        decode_watch: From a body to (changes, revision).
        decode_object: From a body to a StoredObject.
        config_kind: Kind of the configuration.
        config_name: Name of the configuration in force.
        servers_kind: Kind of the backend servers' entries.
        duty_kind: Kind of the system's own duties.
        decode_config: From a value to a Deployment; raises ValueError.
        decode_server: From a StoredObject to a BackendServer; raises
            ValueError.
    """

    list_call: Callable
    watch_call: Callable
    get_call: Callable
    create_call: Callable
    replace_call: Callable
    decode_list: Callable
    decode_watch: Callable
    decode_object: Callable
    config_kind: str
    config_name: str
    servers_kind: str
    duty_kind: str
    decode_config: Callable
    decode_server: Callable
