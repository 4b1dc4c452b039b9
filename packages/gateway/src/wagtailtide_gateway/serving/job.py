"""One request on its way through the gateway."""

import dataclasses

import anyio

from wagtailtide_gateway.model import deployment
from wagtailtide_gateway.model import request

# Time by which the gateway's answer precedes the caller's deadline, for the
# way back to the caller.
DEADLINE_MARGIN_S = 0.05


@dataclasses.dataclass
class Job:
    """A request with what has happened to it.

    Attributes:
        req: The CallerRequest.
        route: Its route.
        service: Service that takes it.
        organisation: The caller's Organisation, or None.
        priority: Rank, 0 is first.
        cost: What it takes out of its organisation's rate.
        received_at: Time in seconds at which it came.
        ends_at: Time at which it is given up.
        starts_by: Time by which its answer has to begin.
        fingerprint: Fingerprint by which a repeated request is known.
        prefix_hash: Hash of the shared part of its prompt, or None.
        tried: Servers that were sent the request.
        ran_on: Number of servers that may have run it.
        arrivals: Number of servers that it reached.
        waited_s: Seconds that it waited for a server.
        first_at: Time of the first byte of its answer, or None.
    """

    req: request.CallerRequest
    route: deployment.Route
    service: deployment.Service
    organisation: deployment.Organisation | None
    priority: int
    cost: float
    received_at: float
    ends_at: float
    starts_by: float
    fingerprint: str
    prefix_hash: int | None
    tried: list = dataclasses.field(default_factory=list)
    ran_on: int = 0
    arrivals: int = 0
    waited_s: float = 0.0
    first_at: float | None = None

    @property
    def time_left_s(self):
        """Seconds until it is given up."""
        return self.ends_at - anyio.current_time()

    @property
    def wait_left_s(self):
        """Seconds for which it may still wait for a server."""
        until = self.ends_at if self.has_begun else self.starts_by
        return until - anyio.current_time()

    @property
    def has_begun(self):
        """Whether a part of its answer has been sent to the caller."""
        return self.first_at is not None

    @property
    def is_plain(self):
        """Whether a plain service takes it."""
        return self.service.engine is None

    @property
    def key(self):
        """Service and model that it is counted under."""
        return self.service.name, self.req.model

    def may_run_again(self):
        """Return whether another server may run it after one may have."""
        return self.route.may_repeat and self.ran_on < self.route.attempts
