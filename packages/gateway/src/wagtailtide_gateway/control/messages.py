"""Messages between the instances and the duty holder, as CBOR."""

from collections.abc import Mapping
import dataclasses

import cbor2

from wagtailtide_gateway import ports
from wagtailtide_gateway.model import backend

PROTOCOL_VERSION = 1

MAX_BYTES = 4_194_304


class BadMessage(Exception):
    """Bytes that are no message of this protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for a model at one instance.

    Attributes:
        service: Name of the service.
        model: Name of the model.
        arrivals: Requests that came since the last message.
        running: Requests in backend servers.
        waiting: Requests that wait at the instance.
        target_s: Shortest latency target of its requests in seconds.
    """

    service: str
    model: str
    arrivals: int
    running: int
    waiting: int
    target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterWish:
    """An adapter that a request needs where none is present or free."""

    service: str
    model: str
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNote:
    """A request that was in a server when it crashed.

    Attributes:
        fingerprint: Fingerprint of the request.
        server: Id of the server.
        born_ms: Start of the server's process.
    """

    fingerprint: str
    server: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an instance tells the duty holder.

    Attributes:
        instance: Its name.
        urgent: Whether it only draws and asks for adapters; the fields on
            loads and demand are empty then, and so is the answer's.
        config_version: Version that it has in force.
        config_age_s: Age of its confirmation.
        seen_news: Number of the last residency change that it has.
        seen_entries: Number of the last change of a server's entry that it
            has, 0 if it needs all of them.
        draws: What it wants of each organisation's rate.
        loads: Its requests in each backend server.
        demand: Its demand by model.
        adapters: Adapters that its requests wait for.
        crashes: Crashes that it saw.
        unreachable: Servers that just took no connection from it.
    """

    instance: str
    urgent: bool
    config_version: int
    config_age_s: float
    seen_news: int
    seen_entries: int
    draws: Mapping[str, float]
    loads: Mapping[str, int]
    demand: tuple[ModelDemand, ...]
    adapters: tuple[AdapterWish, ...]
    crashes: tuple[CrashNote, ...]
    unreachable: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What the duty holder answers.

    Attributes:
        fence: Fencing number of the holder.
        instances: Number of instances that it hears from.
        config_version: Version that it has in force.
        config_age_s: Age of its confirmation.
        config_value: That version, if the instance has an older one.
        news_number: Number of the last residency change included.
        grants: What was drawn for each organisation.
        shortfalls_s: Seconds until more can be drawn.
        loads: Requests of all other instances in each server.
        residencies: Residencies that changed.
        loading_s: Seconds until models that load are ready, by service and
            model.
        crashes: Crashes of all instances.
        leaving: Servers that take no new work.
        entries_age_s: Age of the holder's list of servers.
        entry_number: Number of the last change of an entry included.
        entries: Entries that changed, None for one that was removed.
    """

    fence: int
    instances: int
    config_version: int
    config_age_s: float
    config_value: object
    news_number: int
    grants: Mapping[str, float]
    shortfalls_s: Mapping[str, float]
    loads: Mapping[str, int]
    residencies: Mapping[str, backend.Residency]
    loading_s: Mapping[tuple[str, str], float]
    crashes: tuple[CrashNote, ...]
    leaving: tuple[str, ...]
    entries_age_s: float
    entry_number: int
    entries: Mapping[str, ports.StoredObject | None]


def _pack(values):
    return [
        [getattr(value, name) for name in type(value).__slots__]
        for value in values
    ]


def encode_report(report):
    """Return a Report as bytes."""
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            report.instance,
            report.urgent,
            report.config_version,
            report.config_age_s,
            report.seen_news,
            report.seen_entries,
            dict(report.draws),
            dict(report.loads),
            _pack(report.demand),
            _pack(report.adapters),
            _pack(report.crashes),
            list(report.unreachable),
        ]
    )


def decode_report(data):
    """Return the Report in bytes; raises BadMessage."""
    fields = _fields(data, 13)
    try:
        return Report(
            str(fields[1]),
            bool(fields[2]),
            int(fields[3]),
            float(fields[4]),
            int(fields[5]),
            int(fields[6]),
            {str(k): float(v) for k, v in fields[7].items()},
            {str(k): int(v) for k, v in fields[8].items()},
            tuple(ModelDemand(*row) for row in fields[9]),
            tuple(AdapterWish(*row) for row in fields[10]),
            tuple(CrashNote(*row) for row in fields[11]),
            tuple(str(server) for server in fields[12]),
        )
    except (TypeError, ValueError, AttributeError) as exc:
        raise BadMessage(f'expected a report, got {exc}') from exc


def encode_news(news):
    """Return News as bytes."""
    residencies = {
        server: [
            r.born_ms,
            r.order_count,
            {
                m.name: [m.version, sorted(m.adapters)]
                for m in r.models.values()
            },
        ]
        for server, r in news.residencies.items()
    }
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            news.fence,
            news.instances,
            news.config_version,
            news.config_age_s,
            news.config_value,
            news.news_number,
            dict(news.grants),
            dict(news.shortfalls_s),
            dict(news.loads),
            residencies,
            [[*key, value] for key, value in news.loading_s.items()],
            _pack(news.crashes),
            list(news.leaving),
            news.entries_age_s,
            news.entry_number,
            {
                server: obj and [obj.name, obj.revision, obj.value]
                for server, obj in news.entries.items()
            },
        ]
    )


def decode_news(data):
    """Return the News in bytes; raises BadMessage."""
    fields = _fields(data, 17)
    try:
        return News(
            int(fields[1]),
            int(fields[2]),
            int(fields[3]),
            float(fields[4]),
            fields[5],
            int(fields[6]),
            {str(k): float(v) for k, v in fields[7].items()},
            {str(k): float(v) for k, v in fields[8].items()},
            {str(k): int(v) for k, v in fields[9].items()},
            {str(k): _residency(v) for k, v in fields[10].items()},
            {(str(s), str(m)): float(v) for s, m, v in fields[11]},
            tuple(CrashNote(*row) for row in fields[12]),
            tuple(str(server) for server in fields[13]),
            float(fields[14]),
            int(fields[15]),
            {
                str(server): row and ports.StoredObject(*row)
                for server, row in fields[16].items()
            },
        )
    except (TypeError, ValueError, AttributeError) as exc:
        raise BadMessage(f'expected news, got {exc}') from exc


def _fields(data, count):
    if len(data) > MAX_BYTES:
        raise BadMessage(f'expected at most {MAX_BYTES} bytes')
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as exc:
        raise BadMessage(f'expected CBOR, got {exc}') from exc
    if not isinstance(fields, list) or len(fields) != count:
        raise BadMessage(f'expected a list of {count} fields')
    if fields[0] != PROTOCOL_VERSION:
        raise BadMessage(
            f'expected version {PROTOCOL_VERSION}, got {fields[0]!r}'
        )
    return fields


def _residency(row):
    born_ms, order_count, models = row
    return backend.Residency(
        int(born_ms),
        int(order_count),
        {
            name: backend.ResidentModel(name, version, frozenset(adapters))
            for name, (version, adapters) in models.items()
        },
    )
