"""Backend servers as this instance knows them."""

import dataclasses
import itertools
import logging

from wagtailtide_gateway.decisions import health
from wagtailtide_gateway.model import backend

LOG = logging.getLogger(__name__)

# Entries that lapsed while the store was away come back within about this
# many seconds of its return; one that is missing then is gone.
LAPSE_GRACE_S = 2.0

# Seconds for which a server is not asked again for what it said it lacks.
LACKS_S = 0.4

# Weight of the newest request in the time that a service's requests take.
TIME_SMOOTHING = 0.05


@dataclasses.dataclass
class ServerState:
    """A listed server with what this instance observes of it.

    Attributes:
        server: Its entry in the list.
        own_load: Requests of this instance in it.
        others_load: Requests of the other instances, as last heard.
        news: Residency that the duty holder passed on, or None.
        lapsed_at: Time at which the entry went missing, or None.
        said_to_leave: Whether the duty holder says that it leaves.
        lacks: Times until which it lacks a model and adapter.
    """

    server: backend.BackendServer
    own_load: int = 0
    others_load: int = 0
    news: backend.Residency | None = None
    lapsed_at: float | None = None
    said_to_leave: bool = False
    lacks: dict = dataclasses.field(default_factory=dict)

    @property
    def load(self):
        """Requests in the server by estimate."""
        return self.own_load + self.others_load

    @property
    def takes_work(self):
        """Whether requests may be sent to it."""
        leaves = self.server.leaving or self.said_to_leave
        return not leaves and self.lapsed_at is None

    @property
    def residency(self):
        """What the server holds, as far as is known.

        The duty holder's news goes before the list, which lags by up to a
        second and does not show adapters at once.
        """
        return self.server.residency if self.news is None else self.news

    def note_lacks(self, model, adapter, now):
        """Note that the server refused a request for what it lacks."""
        self.lacks[(model, adapter)] = now + LACKS_S

    def holds(self, model, adapter, now):
        """Return whether the server can run a model and adapter now."""
        if now < self.lacks.get((model, adapter), 0.0):
            return False
        resident = self.residency.models.get(model)
        if resident is None:
            return False
        return adapter is None or adapter in resident.adapters


class ServerView:
    """All backend servers, by id.

    Attributes:
        states: ServerState by id.
        health: Failure rates of the servers.
        known: Whether a whole list was seen.
        entry_number: Number of the last change of an entry.
    """

    def __init__(self, decode, on_change):
        self._decode = decode
        self._on_change = on_change
        self._returned_at = None
        self._service_times = {}
        self._numbers = itertools.count(1)
        self._entries = {}
        self._confirmed_at = float('-inf')
        self.states = {}
        self.health = health.Health()
        self.known = False
        self.entry_number = 0

    def apply_list(self, objects, now):
        """Take a whole list; entries that are missing are gone."""
        listed = set()
        for obj in objects:
            listed.add(obj.name)
            self._put(obj, now)
        for server_id in self.states.keys() - listed:
            self._remove(server_id, now)
        self.known = True
        self._on_change()

    def apply_changes(self, changes, now):
        """Take changes that a watch saw."""
        for change in changes:
            if change.deleted:
                self._remove(change.object.name, now)
            else:
                self._put(change.object, now)
        if changes:
            self._on_change()

    def _number_entry(self, server_id, obj):
        self.entry_number = next(self._numbers)
        self._entries[server_id] = (self.entry_number, obj)

    def confirm(self, at):
        """Note that the list was right at a time in seconds."""
        self._confirmed_at = max(at, self._confirmed_at)

    def age_s(self, now):
        """Return the seconds since the list was known to be right."""
        return now - self._confirmed_at

    def entries_after(self, number):
        """Return entries that changed since a number, None if removed."""
        return {
            server_id: obj
            for server_id, (changed, obj) in self._entries.items()
            if changed > number and (obj is not None or number)
        }

    def apply_entries(self, entries, whole, now):
        """Take entries that the duty holder passed on.

        Args:
            entries: StoredObject by id, None for one that was removed.
            whole: Whether these are all entries.
            now: Time in seconds.
        """
        for server_id, obj in entries.items():
            if obj is not None:
                self._put(obj, now)
            elif server_id in self.states:
                self._forget(server_id, 'removed at the duty holder')
        if whole:
            for server_id in self.states.keys() - entries.keys():
                self._forget(server_id, 'not known to the duty holder')
            self.known = True
        if entries:
            self._on_change()

    def note_store_returned(self, now):
        """Note that the store answers again after it did not."""
        self._returned_at = now

    def drop_lapsed(self, now):
        """Remove entries that did not come back."""
        for server_id, state in list(self.states.items()):
            lapsed = state.lapsed_at
            if lapsed is not None and now - lapsed >= LAPSE_GRACE_S:
                self._forget(server_id, 'did not come back')

    def _put(self, obj, now):
        try:
            server = self._decode(obj)
        except (ValueError, KeyError, TypeError) as exc:
            LOG.warning(
                'server entry ignored',
                extra={
                    'server': obj.name,
                    'revision': obj.revision,
                    'reason': repr(exc),
                },
            )
            return
        state = self.states.get(server.id)
        if state is not None and state.server.residency.born_ms > (
            server.residency.born_ms
        ):
            return
        if state is None or state.server.residency.born_ms != (
            server.residency.born_ms
        ):
            # A server that started again holds and knows nothing of before.
            state = self.states[server.id] = ServerState(server)
            LOG.info(
                'server listed',
                extra={
                    'server': server.id,
                    'service': server.service,
                    'address': str(server.address),
                    'revision': obj.revision,
                },
            )
        elif server.leaving and not state.server.leaving:
            LOG.info(
                'server leaves',
                extra={
                    'server': server.id,
                    'time_left_s': server.time_left_s,
                    'revision': obj.revision,
                },
            )
        if state.server != server or obj.name not in self._entries:
            self._number_entry(obj.name, obj)
        state.server = server
        state.lapsed_at = None

    def _remove(self, server_id, now):
        state = self.states.get(server_id)
        if state is None:
            return
        returned = self._returned_at
        away = returned is not None and now - returned < LAPSE_GRACE_S
        if away and not state.server.leaving:
            if state.lapsed_at is None:
                state.lapsed_at = now
            return
        self._forget(server_id, 'entry removed')

    def _forget(self, server_id, reason):
        del self.states[server_id]
        self._number_entry(server_id, None)
        self.health.retain(self.states.keys())
        LOG.info('server gone', extra={'server': server_id, 'reason': reason})
        self._on_change()

    def adopt_news(self, server_id, residency):
        """Take a residency that the duty holder passed on."""
        state = self.states.get(server_id)
        if state is None:
            return
        if residency.born_ms == state.server.residency.born_ms:
            state.news = residency

    def forget_news(self):
        """Go by the list, because no duty holder is heard."""
        for state in self.states.values():
            state.news = None

    def of_service(self, service):
        """Return the states of a service's servers."""
        return [s for s in self.states.values() if s.server.service == service]

    def record_service_time(self, service, seconds):
        """Take the time of a finished request into account."""
        known = self._service_times.get(service, seconds)
        known += TIME_SMOOTHING * (seconds - known)
        self._service_times[service] = known

    def service_time_s(self, service, default_s):
        """Return the time that a service's requests take."""
        return self._service_times.get(service, default_s)
