"""The operators' configuration: routes, services, models, organisations."""

from collections.abc import Mapping
import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """Kind of a route: whether requests may be repeated, and streaming."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in a route's traffic split."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route for requests to one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header to match, in lower case and without a port.
        path_prefix: Path prefix to match, with a slash at both ends.
        kind: Whether requests may be repeated, and whether answers are
            streams.
        timeout_s: Longest time in seconds that a request may wait for its
            answer.
        latency_target_s: Latency target in seconds; a later answer is of less
            value to the caller.
        priority: Priority of the requests, 0 is the highest.
        attempts: Largest number of backend servers that may run a request.
        open_access: Whether requests need no key.
        may_resume: Whether another server may continue a broken stream.
        max_event_gap_s: Longest pause in seconds between the events of a
            stream.
        first_event_timeout_s: Seconds after which callers leave a stream that
            has sent no event.
        services: Services that run the requests, with weights.
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
    max_event_gap_s: float
    first_event_timeout_s: float
    services: tuple[WeightedService, ...]

    @property
    def may_repeat(self):
        """Whether a request may safely run twice."""
        return self.kind is RouteKind.IDEMPOTENT or self.may_resume


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that the engines of a service can load.

    Attributes:
        name: Name of the model.
        weights_mb: Size of the weights in accelerator memory, in MB.
        adapter_mb: Size of one adapter in accelerator memory, in MB.
        store_load_s: Seconds to load the model from the weight store.
        memory_load_s: Seconds to load it from a copy in the host's memory.
        disk_load_s: Seconds to load it from a copy on the host's disk.
    """

    name: str
    weights_mb: float
    adapter_mb: float
    store_load_s: float
    memory_load_s: float
    disk_load_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Properties of the model engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        weights_mb: Accelerator memory for weights and adapters, in MB.
        adapter_slots: Number of adapters that an engine can hold.
        loads_per_s: Loads a second that the weight store allows for all
            engines together.
        models: Models by name.
        kv_capacity_tokens: Tokens of requests that an engine has memory for,
            0 if the configuration does not state it.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, Model]
    kv_capacity_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of equivalent backend servers.

    Attributes:
        name: Name of the service.
        connection_limit: Limit on connections, from the configuration.
        engine: Properties of its engines, None for a plain service.
        cold_start_s: Seconds for which a server is cold after its start.
        cold_per_s: Requests a second that a cold server takes from all
            instances, 0 if the service has no cold servers.
    """

    name: str
    connection_limit: int
    engine: Engine | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation and its rate limit.

    Attributes:
        name: Name of the organisation.
        priority: Priority that replaces the route's, or None.
        counts_tokens: Whether the rate counts tokens instead of requests.
        default_tokens: Tokens charged for a request that states none.
        rate_per_s: Rate a second over all instances, 0 for no limit.
        burst: Capacity of the token bucket, the largest amount used at once.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    default_tokens: int
    rate_per_s: float
    burst: float

    def cost(self, tokens):
        """Return the amount that a request takes from the rate.

        Args:
            tokens: Number of tokens that the request states, or None.
        """
        if not self.counts_tokens:
            return 1
        return self.default_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits and timeouts for requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One version of the configuration.

    Attributes:
        version: Version number; a newer version has a larger one.
        routes: All routes.
        services: Services by name.
        organisations: Organisations by API key; empty if keys are not used.
        limits: Limits and timeouts for requests of callers.
        uses_keys: Whether routes without open access need a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation]
    limits: CallerLimits
    uses_keys: bool

    @functools.cached_property
    def _routes_by_host(self):
        """Routes by host and first path segment, longest prefix first."""
        index = {}
        for route in self.routes:
            first_segment = route.path_prefix.split('/', 2)[1]
            host_routes = index.setdefault(route.host, {})
            host_routes.setdefault(first_segment, []).append(route)
        for host_routes in index.values():
            for routes in host_routes.values():
                routes.sort(key=lambda r: len(r.path_prefix), reverse=True)
        return index

    def route_for(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        host_routes = self._routes_by_host.get(host, {})
        first_segment = path.split('/', 2)[1] if path.startswith('/') else ''
        for key in (first_segment, ''):
            for route in host_routes.get(key, ()):
                if path.startswith(route.path_prefix):
                    return route
        return None

    @functools.cached_property
    def organisations_by_name(self):
        """Organisations by name."""
        return {org.name: org for org in self.organisations.values()}
