"""What operators declare: routes, services, models, organisations."""

from collections.abc import Mapping
import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """What may be repeated, and how an answer comes."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host under one path prefix.

    Attributes:
        name: Name of the route.
        host: Host header that selects it, lower case, without a port.
        path_prefix: Prefix of the path, with a slash at both ends.
        kind: What may be repeated.
        timeout_s: Longest time that a request may be kept waiting.
        latency_target_s: Time within which an answer has its full value.
        priority: Rank, 0 is the most urgent.
        attempts: Largest number of backend servers that may run a request.
        open_access: Whether requests need no key.
        may_resume: Whether a stream may go on at another server.
        longest_gap_s: Longest pause between events of a stream.
        first_event_s: Time in which callers want a stream's first event,
            else they leave.
        services: Services that take its requests.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    latency_target_s: float
    priority: int
    attempts: int
    open_access: bool
    may_resume: bool
    longest_gap_s: float
    first_event_s: float
    services: tuple[WeightedService, ...]

    @property
    def may_repeat(self):
        """Whether running a request twice is harmless."""
        return self.kind is RouteKind.IDEMPOTENT or self.may_resume


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that engines of a service can load.

    Attributes:
        name: Name of the model.
        weights_mb: Memory of its weights in MB.
        adapter_mb: Memory of one adapter in MB.
        store_load_s: Time to load it from the weight store.
        memory_load_s: Time to load it from a copy in the host's memory.
        disk_load_s: Time to load it from a copy on the host's disk.
    """

    name: str
    weights_mb: float
    adapter_mb: float
    store_load_s: float
    memory_load_s: float
    disk_load_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Model engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        weights_mb: Accelerator memory for weights and adapters in MB.
        adapter_slots: Places for adapters.
        loads_per_s: Loads that the weight store allows over all engines.
        models: Models by name.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, Model]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of like backend servers; a plain service has no engine."""

    name: str
    connection_limit: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A tenant with its rate.

    Attributes:
        name: Name of the organisation.
        priority: Rank that replaces the route's, or None.
        counts_tokens: Whether the rate is in tokens and not in requests.
        default_tokens: Tokens of a request that states none.
        rate_per_s: Rate over all instances, 0 for no limit.
        burst: What may come at once beyond the rate.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    default_tokens: int
    rate_per_s: float
    burst: float

    def cost(self, tokens):
        """Return what a request takes out of the rate.

        Args:
            tokens: Tokens that the request states, or None.
        """
        if not self.counts_tokens:
            return 1
        return self.default_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One version of the configuration.

    Attributes:
        version: Number of the version; later versions have larger ones.
        routes: All routes.
        services: Services by name.
        organisations: Organisations by key; empty if keys are not used.
        limits: Bounds on what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation]
    limits: CallerLimits
    uses_keys: bool

    @functools.cached_property
    def _by_host(self):
        """Routes of each host by the first part of their prefix."""
        index = {}
        for route in self.routes:
            first = route.path_prefix.split('/', 2)[1]
            of_host = index.setdefault(route.host, {})
            of_host.setdefault(first, []).append(route)
        for of_host in index.values():
            for routes in of_host.values():
                routes.sort(key=lambda r: len(r.path_prefix), reverse=True)
        return index

    def route_for(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        of_host = self._by_host.get(host, {})
        first = path.split('/', 2)[1] if path.startswith('/') else ''
        for key in (first, ''):
            for route in of_host.get(key, ()):
                if path.startswith(route.path_prefix):
                    return route
        return None

    @functools.cached_property
    def organisations_by_name(self):
        """Organisations by name."""
        return {org.name: org for org in self.organisations.values()}
