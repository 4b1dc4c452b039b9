"""Schema of the operators' documents, as frozen data classes.

The team of a service owns one document. Field names contain their unit.
Unknown fields are refused. The docstrings of the classes are part of the JSON
schema that `json_schema.render` returns.
"""

import enum

import pydantic
from pydantic import dataclasses

_CFG = pydantic.ConfigDict(extra='forbid')

Name = pydantic.constr(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')
PositiveInt = pydantic.conint(gt=0)
# Infinity would silently disable a rate limit or a horizon.
PositiveFloat = pydantic.confloat(gt=0, allow_inf_nan=False)
Path = pydantic.constr(pattern=r'^/[\x21-\x7e]{0,255}$')


class PriorityClass(enum.StrEnum):
    """Classes of requests, most urgent first."""

    INTERACTIVE = 'interactive'
    STANDARD = 'standard'
    BATCH = 'batch'


class ServerKind(enum.StrEnum):
    """Kinds of backend servers."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class StopOrder(enum.StrEnum):
    """What happens to streams that outlast the grace of a planned stop."""

    RESUME_ELSEWHERE = 'resume_elsewhere'
    WAIT = 'wait'


@dataclasses.dataclass(frozen=True, config=_CFG)
class Model:
    """A model version that a service offers.

    Attributes:
        name: Name that callers use.
        version: Version that is served.
        weights_bytes: Accelerator memory of the weights.
        kv_reserve_bytes: Accelerator memory kept for its KV cache.
        accelerators: Number of accelerators that one replica spans.
        priority: Placement priority; higher is placed first.
        min_replicas: Replicas to keep ready; 0 means load on first request.
        organisations: Organisations that may use it; empty means all.
    """

    name: Name
    version: Name
    weights_bytes: PositiveInt
    kv_reserve_bytes: PositiveInt
    accelerators: PositiveInt = 1
    priority: int = 0
    min_replicas: pydantic.conint(ge=0) = 1
    organisations: tuple[Name, ...] = ()


@dataclasses.dataclass(frozen=True, config=_CFG)
class Adapter:
    """An adapter of a model.

    Attributes:
        name: Name that callers use, as ``model:adapter``.
        model: Model it belongs to.
        bytes: Accelerator memory it takes when loaded.
        organisations: Organisations that may use it; empty means all.
    """

    name: Name
    model: Name
    bytes: PositiveInt
    organisations: tuple[Name, ...] = ()


@dataclasses.dataclass(frozen=True, config=_CFG)
class Key:
    """A caller's key, stored as a salted hash of its secret.

    Attributes:
        id: Public part of the key.
        salt: Hexadecimal salt.
        hash: Hexadecimal hash of salt and secret.
        withdrawn: Whether the key has been withdrawn.
    """

    id: Name
    salt: pydantic.constr(pattern=r'^[0-9a-f]{16,64}$')
    hash: pydantic.constr(pattern=r'^[0-9a-f]{64}$')
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, config=_CFG)
class Organisation:
    """A tenant with its rate, burst and keys.

    Attributes:
        name: Name, unique over all documents.
        rate_tokens_per_s: Tokens a second over all instances together.
        burst_tokens: Tokens at once over all instances together.
        weight: Weight in fair sharing.
        share_slots: Number of roster slots its rate is divided over; a power
            of two up to 1,024.
        keys: Its keys.
    """

    name: Name
    rate_tokens_per_s: PositiveFloat
    burst_tokens: PositiveInt
    weight: PositiveFloat = 1.0
    share_slots: int = 1024
    keys: tuple[Key, ...] = ()

    @pydantic.field_validator('share_slots')
    @classmethod
    def _check_share_slots(cls, value):
        if not 1 <= value <= 1024 or value & (value - 1):
            raise ValueError('expected a power of two from 1 to 1024')
        return value


@dataclasses.dataclass(frozen=True, config=_CFG)
class Route:
    """A path that is passed through to plain services.

    Attributes:
        path: Path prefix that callers use.
        methods: Allowed HTTP methods.
        backend: Name of the group of plain backend servers.
        open: Whether no key is needed.
        idempotent: Whether a call may be repeated.
        organisations: Organisations that may use it; empty means all.
        priority_class: Class of its requests.
        deadline_ms: Deadline of a request when the caller states none.
        tokens_per_call: Tokens charged for each call.
    """

    path: Path
    methods: tuple[str, ...]
    backend: Name
    open: bool = False
    idempotent: bool = False
    organisations: tuple[Name, ...] = ()
    priority_class: PriorityClass = PriorityClass.INTERACTIVE
    deadline_ms: PositiveInt = 10_000
    tokens_per_call: PositiveInt = 1


@dataclasses.dataclass(frozen=True, config=_CFG)
class LatencyTarget:
    """Targets and default deadline of a class of model requests.

    Attributes:
        first_token_ms: 95th percentile of the time to the first token.
        between_tokens_ms: 95th percentile of the time between tokens.
        deadline_ms: Deadline when the caller states none.
    """

    first_token_ms: PositiveInt = 760
    between_tokens_ms: PositiveInt = 50
    deadline_ms: PositiveInt = 60_000


@dataclasses.dataclass(frozen=True, config=_CFG)
class Targets:
    """Latency targets of the three classes."""

    interactive: LatencyTarget = LatencyTarget()
    standard: LatencyTarget = LatencyTarget(5_000, 200, 600_000)
    batch: LatencyTarget = LatencyTarget(3_600_000, 1_000, 86_400_000)


@dataclasses.dataclass(frozen=True, config=_CFG)
class Stop:
    """How a backend server may be stopped.

    Attributes:
        grace_s: Time that running requests may take to finish.
        outlasting: What happens to streams that outlast the grace.
        at_once: Servers of the group that may be stopped at the same time.
    """

    grace_s: PositiveFloat = 30.0
    outlasting: StopOrder = StopOrder.RESUME_ELSEWHERE
    at_once: PositiveInt = 1


@dataclasses.dataclass(frozen=True, config=_CFG)
class BackendServer:
    """A backend server, as the operators declare it.

    Attributes:
        name: Name, unique over all documents.
        kind: Model engine or plain service.
        group: Group that routes and models refer to.
        address: ``ip:port``.
        zone: Availability zone.
        memory_bytes: Accelerator memory of an engine.
        accelerators: Number of accelerators of an engine.
        adapter_pool_bytes: Part of the memory kept for adapters.
        slots: Requests that an engine batches, or a plain service runs.
        checks_fences: Whether it refuses orders with an old fencing token,
            also after it was restarted.
        stop: How it may be stopped.
    """

    name: Name
    kind: ServerKind
    group: Name
    address: pydantic.constr(pattern=r'^[0-9a-fA-F.:\[\]]+:\d{1,5}$')
    zone: Name
    memory_bytes: pydantic.conint(ge=0) = 0
    accelerators: pydantic.conint(ge=0) = 0
    adapter_pool_bytes: pydantic.conint(ge=0) = 0
    slots: PositiveInt = 32
    checks_fences: bool = False
    stop: Stop = Stop()


@dataclasses.dataclass(frozen=True, config=_CFG)
class WeightStore:
    """Limits of the store that engines load models from.

    Attributes:
        loads_per_s: Loads started a second over all engines.
        parallel_loads: Loads under way at once over all engines.
        parallel_adapter_fetches: Adapter fetches in flight in the whole
            deployment beyond which each takes proportionally longer.
    """

    loads_per_s: PositiveFloat = 2.0
    parallel_loads: PositiveInt = 10
    parallel_adapter_fetches: PositiveInt = 80


@dataclasses.dataclass(frozen=True, config=_CFG)
class Limits:
    """Horizons and bounds that operators may change.

    Attributes:
        rate_horizon_s: Time that rate slots stay valid without a renewal.
        ownership_horizon_s: Time that ownership of a backend server stays
            valid without a renewal.
        partial_key_trust_s: Time that keys stay trusted while a zone is
            silent and the store gives no answer.
        idempotency_retention_s: Time that outcomes are kept.
        crashes_to_quarantine: Crashes after which a request is refused.
    """

    rate_horizon_s: PositiveFloat = 14_400.0
    ownership_horizon_s: PositiveFloat = 900.0
    partial_key_trust_s: PositiveFloat = 300.0
    idempotency_retention_s: PositiveFloat = 86_400.0
    crashes_to_quarantine: PositiveInt = 3


@dataclasses.dataclass(frozen=True, config=_CFG)
class Document:
    """One service's document.

    Attributes:
        service: Name of the service; the object's key ends with it.
        zones: Availability zones that backend servers may name; empty means
            that zones are not checked.
        models: Models offered.
        adapters: Adapters offered.
        organisations: Tenants.
        routes: Paths passed through to plain services.
        backend_servers: Backend servers.
        targets: Latency targets by class.
        weight_store: Limits of the weight store.
        limits: Horizons and bounds.
    """

    service: Name
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    routes: tuple[Route, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
    targets: Targets = Targets()
    weight_store: WeightStore = WeightStore()
    limits: Limits = Limits()
    zones: tuple[Name, ...] = ()
