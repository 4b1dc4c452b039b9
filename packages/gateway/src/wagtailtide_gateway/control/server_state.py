"""What this instance knows of one backend server's process."""

import dataclasses
import logging

from wagtailtide_gateway.control import evacuations as evacuations_
from wagtailtide_gateway.decisions import server_capacity
from wagtailtide_gateway.decisions import server_limits
from wagtailtide_gateway.model import backend

LOG = logging.getLogger(__name__)

# Seconds for which a server gets no requests for a model or adapter after it
# refused one because it lacks that model or adapter.
UNAVAILABLE_TTL_S = 0.4

# Longest pause that a server can ask for, in seconds. A longer one is taken
# for a mistake.
MAX_PAUSE_S = 3_600.0


@dataclasses.dataclass
class ServerState:
    """A listed server and what this instance observes of it.

    Attributes:
        server: Entry of the server in the list.
        own_load: Number of requests of this instance in the server.
        others_load: Number of requests of the other instances, from the last
            update.
        leader_residency: Residency from the leader's updates, or None.
        missing_since: Time in seconds at which the entry went missing, or
            None.
        reported_leaving: Whether the leader reports that the server is
            leaving.
        unavailable_until: Time in seconds until which the server is taken to
            lack a model or adapter, by model and adapter.
        limit: ServerLimit that the server states.
        states_leaving: Whether the server has stated, in a response to this
            instance or, on the leader, to any, that it is leaving.
        paused_until: Time in seconds until which the server wants no requests
            from this instance.
        pause_noted_at: Time in seconds at which this pause was first stated.
        evacuations: EvacuationView of the instance.
        capacity: Learned Capacity, the nominal one unless it is learned.
        logged_capacity: Capacity in the last log line about it.
        predecessor: ServerState of the previous process, None without any.
            Requests may have been sent to this process before it was listed.
    """

    server: backend.BackendServer
    own_load: int = 0
    others_load: int = 0
    leader_residency: backend.Residency | None = None
    missing_since: float | None = None
    reported_leaving: bool = False
    unavailable_until: dict = dataclasses.field(default_factory=dict)
    limit: server_limits.ServerLimit = dataclasses.field(
        default_factory=server_limits.ServerLimit
    )
    states_leaving: bool = False
    paused_until: float = float('-inf')
    pause_noted_at: float = float('-inf')
    evacuations: evacuations_.EvacuationView = dataclasses.field(
        default_factory=evacuations_.EvacuationView
    )
    capacity: server_capacity.Capacity = server_capacity.NOMINAL
    logged_capacity: server_capacity.Capacity = server_capacity.NOMINAL
    predecessor: 'ServerState | None' = None

    @property
    def requests_sent(self):
        """Requests of this instance that may be in the server."""
        previous = self.predecessor.own_load if self.predecessor else 0
        return self.own_load + previous

    @property
    def sustained_slots(self):
        """Requests that the server runs at once without waiting, learned."""
        if self.capacity.slots_share == 1.0:
            return self.server.slots
        return max(1.0, self.server.slots * self.capacity.slots_share)

    @property
    def load(self):
        """Estimated number of requests in the server."""
        return self.own_load + self.others_load

    @property
    def leaves(self):
        """Whether the server is known to be leaving."""
        return (
            self.server.leaving or self.reported_leaving or self.states_leaving
        )

    @property
    def is_evacuated(self):
        """Whether the server is in a zone that is known to be evacuated."""
        return self.evacuations.is_evacuated(self.server.zone)

    @property
    def is_contactable(self):
        """Whether anything may be sent to the server, as to its zone."""
        return self.evacuations.permits(self.server.zone)

    @property
    def accepts_requests(self):
        """Whether requests may be sent to the server."""
        return (
            not self.leaves
            and self.missing_since is None
            and self.is_contactable
        )

    @property
    def residency(self):
        """Models that the server holds.

        The leader's updates take precedence over the list, which lags by up to
        a second and does not show new adapters at once.
        """
        return (
            self.server.residency
            if self.leader_residency is None
            else self.leader_residency
        )

    def reset_shared_data(self):
        """Drop what the leader said, as the entry was away meanwhile."""
        self.others_load = 0
        self.leader_residency = None
        self.reported_leaving = False

    def pauses(self, now):
        """Return whether the server wants nothing from this instance."""
        return now < self.paused_until

    def note_unavailable(self, model, adapter, now):
        """Record that the server lacks the model or adapter of a request."""
        self.unavailable_until[(model, adapter)] = now + UNAVAILABLE_TTL_S

    def note_leaving(self, source):
        """Record that the server has stated that it is leaving.

        A new process of the server has a state of its own.

        Args:
            source: Id of the request whose response stated it, the name of the
                instance that reported it, or where else it is known from.
        """
        if not self.states_leaving:
            self.states_leaving = True
            LOG.info(
                'server states that it leaves',
                extra={
                    'server': self.server.id,
                    'source': source,
                    'load': self.load,
                },
            )

    def note_pause(self, pause_s, source, sent_at, now):
        """Record that the server wants no requests for some time.

        Responses may arrive out of order, so the latest end of a pause counts.

        Args:
            pause_s: The time in seconds; at most MAX_PAUSE_S count.
            source: Id of the request whose response stated it.
            sent_at: Time in seconds at which that request was sent.
            now: Time in seconds.
        """
        if not self.pauses(now):
            self.pause_noted_at = now
        # What is left of a pause that was known as the request was sent.
        known_left_s = 0.0
        if self.pause_noted_at < sent_at:
            known_left_s = self.paused_until - sent_at
        end = now + min(pause_s, MAX_PAUSE_S)
        self.paused_until = max(self.paused_until, end)
        LOG.info(
            'server pauses',
            extra={
                'server': self.server.id,
                'pause_s': pause_s,
                'source': source,
                'sent_s': round(now - sent_at, 3),
                'known_left_s': round(known_left_s, 3),
                'load': self.load,
            },
        )

    def can_serve(self, model, adapter, now):
        """Return whether the server can run requests for a model now.

        Args:
            model: Name of the model.
            adapter: Name of an adapter that the requests need, or None.
            now: Time in seconds.
        """
        if now < self.unavailable_until.get((model, adapter), 0.0):
            return False
        resident = self.residency.models.get(model)
        if resident is None:
            return False
        return adapter is None or adapter in resident.adapters
