"""Messages between the instances and the leader, encoded as CBOR.

`fields` says how a message may grow without a new protocol version. An
instance of another version has no leader, so raising it takes two releases.
"""

from collections.abc import Mapping
import dataclasses

import cbor2

from wagtailtide_gateway import ports
from wagtailtide_gateway.control import digests
from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import server_limits
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.model import backend

PROTOCOL_VERSION = 6

# Number of fields in the messages of this version, the version included.
REPORT_FIELDS = 27
UPDATE_FIELDS = 25
REFUSAL_FIELDS = 2

# What the conversion of a wrong field raises.
_CONVERSION_ERRORS = (
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    fields.BadMessage,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for a model at one instance.

    Attributes:
        service: Name of the service.
        model: Name of the model.
        arrivals: Number of requests since the last full report.
        running: Number of requests in backend servers.
        waiting: Number of requests that wait at the instance.
        target_s: Shortest latency target of the requests in seconds.
    """

    service: str
    model: str
    arrivals: int
    running: int
    waiting: int
    target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterRequest:
    """An adapter that a waiting request needs and no usable server holds.

    Attributes:
        service: Name of the service.
        model: Name of the model.
        adapter: Name of the adapter.
        software_version: Software version of the servers that may run the
            request, None if all may.
    """

    service: str
    model: str
    adapter: str
    software_version: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request or part of a prompt that was in a server as it crashed.

    Attributes:
        fingerprint: Fingerprint of the request or part.
        server: Id of the server.
        boot_id: Identifier of the server's process.
        age_s: Seconds since the crash.
    """

    fingerprint: str
    server: str
    boot_id: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report of an instance to the leader.

    Attributes:
        instance: Name of the instance.
        urgent: Whether the report only draws from rates and requests adapters
            or reservations. Its loads and demand are empty, and the update
            has no loads, loading_s, crashes, leaving, entries or peers.
        config_version: Configuration version in force.
        config_age_s: Seconds since the configuration was confirmed.
        seen_residency_number: Number of the last residency change of this
            leader that it has applied, 0 if there is none.
        seen_entry_number: Number of the last server entry change of this
            leader that it has applied, 0 if there is none.
        draws: Amount to draw for each organisation, negative to return it.
        loads: Number of its requests in each backend server.
        demand: Its demand by model.
        adapters: Adapters that its requests wait for.
        crashes: Requests and parts that were in servers when these crashed.
        unreachable: Ids of servers to which a recent connection failed.
        capacity: Capacity of the instance to lead, in cores.
        known_residencies: Digest of the residency that the instance has of
            each server; empty if it has a seen_residency_number.
        known_entries: Digest of the entry that the instance has of each
            server; empty if it has a seen_entry_number.
        quota_fence: Fencing token of the last leader heard, 0 if there was
            none.
        share: Share of each rate that it uses while no leader answers.
        limits: Limits that servers have stated, by server id; in an urgent
            report of those in `permits` only.
        permits: Number of permits that its waiting requests need, by server
            id.
        begun_streams: Software version by key of the streams begun since the
            last report.
        wanted_origins: Keys of streams whose version it wants to know.
        seen_origin_number: Number of the last stream of this leader that it
            has heard of, 0 if there is none.
        proved: Fingerprints of suspect requests and parts that have proved to
            crash no servers.
        leaving: Unix time in milliseconds at which the process started, by id,
            of the servers that have stated to it that they are leaving.
        peer_host: Host at which it accepts calls of other instances.
        peer_port: Port at which it accepts requests to forward, 0 if it
            accepts none.
        sections: Value of each section by its number, see `sections`.
    """

    instance: str
    urgent: bool
    config_version: int
    config_age_s: float
    seen_residency_number: int
    seen_entry_number: int
    draws: Mapping[str, float]
    loads: Mapping[str, int]
    demand: tuple[ModelDemand, ...]
    adapters: tuple[AdapterRequest, ...]
    crashes: tuple[CrashReport, ...]
    unreachable: tuple[str, ...]
    capacity: float
    known_residencies: Mapping[str, int]
    known_entries: Mapping[str, int]
    quota_fence: int
    share: float
    limits: Mapping[str, server_limits.ReportedLimit]
    permits: Mapping[str, int]
    begun_streams: Mapping[int, str]
    wanted_origins: tuple[int, ...]
    seen_origin_number: int
    proved: tuple[str, ...]
    leaving: Mapping[str, int]
    peer_host: str
    peer_port: int
    sections: Mapping[int, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderUpdate:
    """Reply of the leader to a report.

    Attributes:
        fence: Fencing token of the leader.
        instances: Number of instances that report to the leader.
        config_version: Configuration version in force at the leader.
        config_age_s: Seconds since the leader's configuration was confirmed.
        config_value: The configuration, if the instance has an older version,
            else None.
        residency_number: Number of the last residency change included.
        grants: Amount drawn for each organisation.
        refill_waits_s: Seconds until the missing amount can be drawn, by
            organisation.
        loads: Number of requests of all other instances in each server.
        residencies: Residencies that changed, by server id.
        loading_s: Seconds until each loading model is ready, by service and
            model.
        crashes: What was in servers when these crashed, as reported
            by all instances in the last seconds; all of them for an instance
            without a seen_residency_number.
        leaving: Ids of servers that accept no new requests.
        entries_age_s: Age of the leader's list of servers in seconds.
        entry_number: Number of the last server entry change included.
        entries: Server entries that changed, None for a removed one.
        share: Share of each rate for the time without a leader, None to keep
            the present one.
        fills: Part of each burst that is left, for the organisations that
            have used some of it; None in the reply to an urgent report.
        limits: Limits of the servers that have one, by server id; in the reply
            to an urgent report of those in its `permits` only.
        permits: Number of permits granted, by server id.
        origin_number: Number of the last begun stream included.
        origins: Software version by key of streams that were begun or asked
            for.
        proved: Fingerprints that any instance has reported as proved in the
            last seconds.
        peers: Peers of the instance.
        sections: Value of each section by its number, see `sections`.
    """

    fence: int
    instances: int
    config_version: int
    config_age_s: float
    config_value: object
    residency_number: int
    grants: Mapping[str, float]
    refill_waits_s: Mapping[str, float]
    loads: Mapping[str, int]
    residencies: Mapping[str, backend.Residency]
    loading_s: Mapping[tuple[str, str], float]
    crashes: tuple[CrashReport, ...]
    leaving: tuple[str, ...]
    entries_age_s: float
    entry_number: int
    entries: Mapping[str, ports.StoredObject | None]
    share: float | None
    fills: Mapping[str, float] | None
    limits: Mapping[str, server_limits.SharedLimit]
    permits: Mapping[str, int]
    origin_number: int
    origins: Mapping[int, str]
    proved: tuple[str, ...]
    peers: tuple[peers.Peer, ...]
    sections: Mapping[int, object] = dataclasses.field(default_factory=dict)


def _pack(values):
    return [
        [getattr(value, name) for name in type(value).__slots__]
        for value in values
    ]


def _pack_sections(sections):
    """Return the last field of a message; none without sections."""
    return [dict(sections)] if sections else []


def _pack_by_key(values):
    return dict(zip(values, _pack(values.values()), strict=True))


def encode_report(report):
    """Return a Report as bytes."""
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            report.instance,
            report.urgent,
            report.config_version,
            report.config_age_s,
            report.seen_residency_number,
            report.seen_entry_number,
            dict(report.draws),
            dict(report.loads),
            _pack(report.demand),
            _pack(report.adapters),
            _pack(report.crashes),
            list(report.unreachable),
            report.capacity,
            dict(report.known_residencies),
            dict(report.known_entries),
            report.quota_fence,
            report.share,
            _pack_by_key(report.limits),
            dict(report.permits),
            stream_origins.group_by_version(report.begun_streams),
            list(report.wanted_origins),
            report.seen_origin_number,
            list(report.proved),
            dict(report.leaving),
            report.peer_host,
            report.peer_port,
            *_pack_sections(report.sections),
        ]
    )


def decode_report(data):
    """Return the Report in a message; raise BadMessage if it is invalid."""
    values = fields.decode(data, REPORT_FIELDS, PROTOCOL_VERSION)
    try:
        return _REPORT(values[1:])
    except _CONVERSION_ERRORS as exc:
        raise fields.BadMessage(
            f'expected the fields of a report: {exc}'
        ) from exc


def encode_update(update):
    """Return a LeaderUpdate as bytes."""
    residencies = {
        server: [residency.order_count, *digests.residency_fields(residency)]
        for server, residency in update.residencies.items()
    }
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            update.fence,
            update.instances,
            update.config_version,
            update.config_age_s,
            update.config_value,
            update.residency_number,
            dict(update.grants),
            dict(update.refill_waits_s),
            dict(update.loads),
            residencies,
            [[*key, value] for key, value in update.loading_s.items()],
            _pack(update.crashes),
            list(update.leaving),
            update.entries_age_s,
            update.entry_number,
            {
                server: obj and [obj.name, obj.revision, obj.value]
                for server, obj in update.entries.items()
            },
            update.share,
            None if update.fills is None else dict(update.fills),
            _pack_by_key(update.limits),
            dict(update.permits),
            update.origin_number,
            stream_origins.group_by_version(update.origins),
            list(update.proved),
            _pack(update.peers),
            *_pack_sections(update.sections),
        ]
    )


def decode_update(data):
    """Return the LeaderUpdate in a message; raise BadMessage if invalid."""
    values = fields.decode(data, UPDATE_FIELDS, PROTOCOL_VERSION)
    try:
        return _UPDATE(values[1:])
    except _CONVERSION_ERRORS as exc:
        raise fields.BadMessage(
            f'expected the fields of a leader update: {exc}'
        ) from exc


def encode_refusal(resigned_fence):
    """Return the answer of an instance that does not lead, as bytes.

    Args:
        resigned_fence: Last fencing token that it gave up, 0 if there is none.
    """
    return cbor2.dumps([PROTOCOL_VERSION, resigned_fence])


def decode_refusal(data):
    """Return the resigned fencing token; raise BadMessage if invalid."""
    values = fields.decode(data, REFUSAL_FIELDS, PROTOCOL_VERSION)
    try:
        return fields.integer(values[1])
    except TypeError as exc:
        raise fields.BadMessage(f'expected a fencing token: {exc}') from exc


def _stream_key(value):
    """Return a value that has to be the key of a stream.

    A larger one could not be written to the store.
    """
    key = fields.integer(value)
    if not 0 <= key <= stream_origins.MAX_KEY:
        raise ValueError(f'expected the key of a stream, got {key}')
    return key


def _versions_by_key(keys_by_version):
    return {
        key: version
        for version, keys in _KEYS_BY_VERSION(keys_by_version).items()
        for key in keys
    }


def _residency(row):
    order_count, process_start_ms, models = _RESIDENCY(row)
    return backend.Residency(
        process_start_ms,
        order_count,
        {
            name: backend.ResidentModel(name, version, frozenset(adapters))
            for name, (version, adapters) in models.items()
        },
    )


def _durations_by_model(rows):
    return {
        (service, model): duration_s
        for service, model, duration_s in _MODEL_DURATIONS(rows)
    }


def _values(*values):
    return values


_TEXTS = fields.sequence(fields.text)
_INTEGERS_BY_NAME = fields.mapping(fields.text, fields.integer)
_NUMBERS_BY_NAME = fields.mapping(fields.text, fields.number)
_DURATIONS_BY_NAME = fields.mapping(fields.text, fields.duration)
_STREAM_KEYS = fields.sequence(_stream_key)
_KEYS_BY_VERSION = fields.mapping(fields.text, _STREAM_KEYS)
_MODEL_DURATIONS = fields.sequence(
    fields.row(_values, fields.text, fields.text, fields.duration)
)
_RESIDENCY = fields.row(
    _values,
    fields.integer,
    fields.integer,
    fields.mapping(
        fields.text,
        fields.row(_values, fields.optional(fields.integer), _TEXTS),
    ),
)
_CRASH_REPORTS = fields.sequence(
    fields.row(
        CrashReport, fields.text, fields.text, fields.text, fields.duration
    )
)
_DEMAND = fields.row(
    ModelDemand,
    fields.text,
    fields.text,
    fields.integer,
    fields.integer,
    fields.integer,
    fields.duration,
)
_ADAPTER_REQUEST = fields.row(
    AdapterRequest,
    fields.text,
    fields.text,
    fields.text,
    fields.optional(fields.text),
)
_REPORTED_LIMIT = fields.row(
    server_limits.ReportedLimit,
    fields.optional(fields.number),
    fields.duration,
)
_SHARED_LIMIT = fields.row(
    server_limits.SharedLimit, fields.number, fields.duration, fields.integer
)
_STORED_OBJECT = fields.row(
    ports.StoredObject, fields.text, fields.integer, lambda value: value
)
_PEER = fields.row(
    peers.Peer, fields.text, fields.text, fields.integer, _TEXTS
)

# Converters of the fields in the order in which they are encoded, which is
# that of the attributes.
_REPORT = fields.row(
    Report,
    fields.text,
    fields.boolean,
    fields.integer,
    fields.duration,
    fields.integer,
    fields.integer,
    _NUMBERS_BY_NAME,
    _INTEGERS_BY_NAME,
    fields.sequence(_DEMAND),
    fields.sequence(_ADAPTER_REQUEST),
    _CRASH_REPORTS,
    _TEXTS,
    fields.number,
    _INTEGERS_BY_NAME,
    _INTEGERS_BY_NAME,
    fields.integer,
    fields.number,
    fields.mapping(fields.text, _REPORTED_LIMIT),
    _INTEGERS_BY_NAME,
    _versions_by_key,
    _STREAM_KEYS,
    fields.integer,
    _TEXTS,
    _INTEGERS_BY_NAME,
    fields.text,
    fields.integer,
    dict,
)
_UPDATE = fields.row(
    LeaderUpdate,
    fields.integer,
    fields.integer,
    fields.integer,
    fields.duration,
    lambda value: value,
    fields.integer,
    _NUMBERS_BY_NAME,
    _DURATIONS_BY_NAME,
    _INTEGERS_BY_NAME,
    fields.mapping(fields.text, _residency),
    _durations_by_model,
    _CRASH_REPORTS,
    _TEXTS,
    fields.duration,
    fields.integer,
    fields.mapping(fields.text, fields.optional(_STORED_OBJECT)),
    fields.optional(fields.number),
    fields.optional(_NUMBERS_BY_NAME),
    fields.mapping(fields.text, _SHARED_LIMIT),
    _INTEGERS_BY_NAME,
    fields.integer,
    _versions_by_key,
    _TEXTS,
    fields.sequence(_PEER),
    dict,
)
