"""State of one request while the gateway processes it."""

import dataclasses

import anyio

from wagtailtide_gateway.decisions import engine_memory
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import deployment
from wagtailtide_gateway.model import request

# Margin before the caller's deadline, for the response to reach the caller.
DEADLINE_MARGIN_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """Where the stream of one server ended.

    Attributes:
        framing: How the end of the response is marked.
        events: Number of complete events of the whole stream.
        partial_bytes: Number of bytes after the last complete event.
    """

    framing: outgoing.Framing
    events: int
    partial_bytes: int


@dataclasses.dataclass
class Job:
    """A request and its progress. Times are in seconds of the event loop.

    Attributes:
        req: The CallerRequest.
        route: Its Route.
        service: Service that runs it.
        organisation: The caller's Organisation, or None.
        priority: Priority, 0 is the most urgent.
        cost: Amount charged to the organisation's rate.
        received_at: Time at which its head was complete.
        deadline_at: Time at which it is aborted.
        first_byte_due_at: Time by which its response has to start.
        fingerprint: Hash that identifies repetitions of the same request.
        part_fingerprints: Hashes of the parts of its prompt that other
            requests may share.
        prefix_hash: Hash of the shareable prefix of its prompt, or None.
        tried: Ids of servers that are not to be tried again.
        sends: Id and software version of each server that it was sent to, in
            order.
        peers: Names of the instances that forwarded it, in order.
        software_version: Software version of the server that began its stream,
            None if no server has. Only servers of this version may go on.
        possible_runs: Number of servers that may have run it.
        send_count: Number of attempts at servers.
        waited_s: Seconds that it has waited for a server.
        limited_servers: Number of servers that could run it but for their
            limits, when it last had no server.
        first_byte_at: Time of the first byte of its response, or None.
        has_proved_parts: Whether the server that it is in has answered it for
            long enough to show that its parts are sound.
        stream_end: StreamEnd of the last server that sent its stream, or None.
        tracker: Tracker of the current attempt, None if it is not tracked.
        held_tokens: Tokens that count for it in the server that it is in.
        memory_window: Number of the window in which its tokens were last
            counted as wanted.
        memory_chances: Its chances to use engines whose memory is scarce, in
            this window: by server id, for each set of servers.
        memory_exclusions: Exclusions of servers for want of memory, when it
            last looked for one.
        reservation: Number of its reservation of engine memory, None if it
            has asked for none.
        class_chance: Time until which it keeps its chance among the requests
            of its priority, and the chance, 0 to 1.
    """

    req: request.CallerRequest
    route: deployment.Route
    service: deployment.Service
    organisation: deployment.Organisation | None
    priority: int
    cost: float
    received_at: float
    deadline_at: float
    first_byte_due_at: float
    fingerprint: str
    part_fingerprints: tuple[str, ...]
    prefix_hash: int | None
    tried: list = dataclasses.field(default_factory=list)
    sends: list = dataclasses.field(default_factory=list)
    peers: list = dataclasses.field(default_factory=list)
    software_version: str | None = None
    possible_runs: int = 0
    send_count: int = 0
    waited_s: float = 0.0
    limited_servers: int = 0
    first_byte_at: float | None = None
    has_proved_parts: bool = False
    stream_end: StreamEnd | None = None
    tracker: object | None = None
    held_tokens: int = 0
    memory_window: int | None = None
    memory_chances: dict = dataclasses.field(default_factory=dict)
    memory_exclusions: engine_memory.Exclusions = engine_memory.NO_EXCLUSIONS
    reservation: int | None = None
    class_chance: tuple[float, float] = (float('-inf'), 0.0)

    @property
    def time_left_s(self):
        """Seconds until the request is aborted."""
        return self.deadline_at - anyio.current_time()

    @property
    def wait_left_s(self):
        """Seconds for which the request may still wait for a server."""
        until = (
            self.deadline_at
            if self.has_response_started
            else self.first_byte_due_at
        )
        return until - anyio.current_time()

    def send_limit_at(self):
        """Return the time in seconds after which it is not sent any more.

        That is when its caller gives up. A caller that is still there after
        the time for its first event waits until its deadline.
        """
        if self.has_response_started or self.wait_left_s <= 0.0:
            return self.deadline_at
        return self.first_byte_due_at

    @property
    def has_response_started(self):
        """Whether part of the response has been sent to the caller."""
        return self.first_byte_at is not None

    @property
    def resumes_stream(self):
        """Whether it goes on with a stream that its caller has begun."""
        return self.req.resume_after is not None and self.route.may_resume

    @property
    def is_plain(self):
        """Whether the service runs no model engines."""
        return self.service.engine is None

    @property
    def demand_key(self):
        """Service and model under which the request is counted."""
        return self.service.name, self.req.model

    def may_retry(self):
        """Return whether it may run again after a server may have run it."""
        return (
            self.route.may_repeat and self.possible_runs < self.route.attempts
        )
