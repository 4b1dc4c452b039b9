"""Availability zones that operators have evacuated, as an instance knows them.

While a zone is evacuated, nothing is sent to its servers. What was last known
stays in force while neither the store nor a leader can be asked.
"""

import collections
import enum
import logging
import math

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.control import store_era

LOG = logging.getLogger(__name__)

# Seconds after a restore of the store for which evacuations that its copy
# lacks stay in force, until the operator has written them again.
REWRITE_S = 2.0


class ZoneState(enum.Enum):
    """State of an availability zone; the value is the label of the metric."""

    IN_USE = 'in_use'
    # Evacuated; requests of the system are still in its servers.
    EVACUATING = 'evacuating'
    # Evacuated; no request is in its servers.
    EVACUATED = 'evacuated'
    # No longer evacuated; a server is still cold.
    RETURNING = 'returning'


def is_cold(state, now):
    """Return whether a server has started so recently that it is cold.

    Args:
        state: ServerState of the server.
        now: Time in seconds.
    """
    return state.limit.cold.is_limited(now)


class EvacuationView:
    """The evacuated zones, the age of this information and all zone states.

    Args:
        bound_s: Seconds after which no request may reach an evacuated zone,
            None if zones cannot be evacuated.
        on_change: Function that is called when the evacuated zones change.
        on_return: Function that is called with each zone that returns, before
            its servers may be used.

    Attributes:
        bound_s: The same.
        is_known: Whether it is known which zones are evacuated.
        zone_states: ZoneState by zone, of all zones that servers have been
            listed in.
        requests: Number of requests in the servers of each of these zones.
    """

    def __init__(
        self,
        bound_s=None,
        on_change=lambda: None,
        on_return=lambda zone: None,
    ):
        self.bound_s = bound_s
        self._on_return = on_return
        self.is_known = not self.is_enabled
        self.zone_states = {}
        self.requests = collections.Counter()
        self._on_change = on_change
        self._revisions = {}
        self._list_revision = -math.inf
        self._era = None
        self._era_began_at = -math.inf
        self._confirmed_at = -math.inf
        self._ignored = set()

    @property
    def is_enabled(self):
        """Whether zones can be evacuated."""
        return self.bound_s is not None

    @property
    def revisions(self):
        """Revision of the evacuation of each evacuated zone, by zone."""
        return dict(self._revisions)

    def age_s(self, now):
        """Return the seconds since the zones were last known to be current.

        Infinity if they were never known.
        """
        return now - self._confirmed_at

    def is_evacuated(self, zone):
        """Return whether a zone is known to be evacuated."""
        return zone in self._revisions

    def permits(self, zone):
        """Return whether anything may be sent to servers in a zone.

        Nothing may be while it is not known which zones are evacuated.
        """
        return self.is_known and zone not in self._revisions

    def apply_list(self, objects, revision, listed_at):
        """Apply a list of the evacuations in the store.

        Args:
            objects: StoredObject of each evacuation, named as its zone.
            revision: Revision of the store at which they were listed.
            listed_at: Time in seconds at which the list was requested.
        """
        revisions = {obj.name: obj.revision for obj in objects}
        self._apply(revisions, revision, listed_at, 'store')

    def make_update(self, now):
        """Return the value for the other instances, None if not known."""
        if not self.is_enabled or not self.is_known:
            return None
        return [self.age_s(now), self._list_revision, self.revisions]

    def apply_update(self, value, reported_at):
        """Apply the value of a leader.

        Args:
            value: What `make_update` returned, None if the leader sent none.
            reported_at: Time in seconds at which this instance reported.

        Raises:
            TypeError: The value has another type than expected.
            ValueError: A number in it is invalid.
        """
        if value is not None:
            age_s, revision, revisions = _decode(value)
            self._apply(revisions, revision, reported_at - age_s, 'leader')

    def _apply(self, revisions, list_revision, current_at, source):
        """Replace the evacuated zones, unless those known are newer.

        The zones known at a later revision are at least as current as an
        older list, so this confirms them, too.
        """
        self._confirmed_at = max(current_at, self._confirmed_at)
        self.is_known = True
        if list_revision < self._list_revision:
            return
        self._list_revision = list_revision
        self._note_era(store_era.era_of(list_revision), current_at)
        if current_at - self._era_began_at < REWRITE_S:
            revisions = self._revisions | revisions
        if revisions == self._revisions:
            return
        previous, self._revisions = self._revisions, revisions
        for zone in sorted(revisions.keys() | previous.keys()):
            if revisions.get(zone) != previous.get(zone):
                _log_change(
                    zone, previous.get(zone), revisions.get(zone), source
                )
        self._ignored &= revisions.keys()
        for zone in previous.keys() - revisions.keys():
            self._on_return(zone)
        self._on_change()

    def _note_era(self, era, now):
        if self._era is not None and era > self._era:
            self._era_began_at = now
        self._era = era

    def observe(self, servers, now):
        """Update the states of all zones from the servers and their loads.

        Args:
            servers: The ServerView.
            now: Time in seconds.
        """
        requests, cold = collections.Counter(), set()
        for state in servers.states.values():
            zone = state.server.zone
            requests[zone] += state.load
            self.zone_states.setdefault(zone, ZoneState.IN_USE)
            if is_cold(state, now):
                cold.add(zone)
        self.requests = requests
        for zone in self.zone_states:
            self._set_state(zone, self._state_of(zone, cold))
        if servers.has_list:
            self._log_ignored()

    def _state_of(self, zone, cold):
        if zone in self._revisions:
            return (
                ZoneState.EVACUATING
                if self.requests[zone]
                else ZoneState.EVACUATED
            )
        was_used = self.zone_states[zone] is ZoneState.IN_USE
        if zone in cold and not was_used:
            return ZoneState.RETURNING
        return ZoneState.IN_USE

    def _set_state(self, zone, state):
        previous = self.zone_states[zone]
        if state is previous:
            return
        self.zone_states[zone] = state
        LOG.info(
            'zone state',
            extra={
                'zone': zone,
                'state': state.value,
                'previous': previous.value,
                'requests': self.requests[zone],
            },
        )

    def _log_ignored(self):
        """Log once each evacuation of what is no zone of any server."""
        names = self._revisions.keys() - self.zone_states.keys()
        for name in sorted(names - self._ignored):
            LOG.warning(
                'evacuation ignored',
                extra={
                    'zone': name,
                    'revision': self._revisions[name],
                    'reason': 'no server was listed in a zone of this name',
                },
            )
        self._ignored = names


def make_section(view):
    """Return the Section by which a leader passes the zones of a view on."""
    return sections.Section(
        sections.Number.EVACUATIONS,
        make_update=lambda instance, now: view.make_update(now),
        apply=view.apply_update,
    )


def zone_state_values(view):
    """Return the metric of each zone and state, 1 for the current state."""
    return {
        (zone, state.value): int(state is current)
        for zone, current in view.zone_states.items()
        for state in ZoneState
    }


def dump(view, now):
    """Return the state of a view for the dump of an instance."""
    return {
        'age_s': rounded_age_s(view, now),
        'revisions': view.revisions,
        'zones': {
            zone: {'state': state.value, 'requests': view.requests[zone]}
            for zone, state in view.zone_states.items()
        },
    }


def rounded_age_s(view, now):
    """Return the age of what a view knows for logs, None without any."""
    age_s = view.age_s(now)
    return round(age_s, 2) if math.isfinite(age_s) else None


def _log_change(zone, previous, revision, source):
    LOG.info(
        'evacuation ended' if revision is None else 'evacuation begun',
        extra={
            'zone': zone,
            'revision': revision,
            'previous_revision': previous,
            'source': source,
        },
    )


def _decode(value):
    return fields.row(
        lambda *values: values,
        _age_s,
        fields.integer,
        fields.mapping(fields.text, fields.integer),
    )(value)


def _age_s(value):
    age_s = fields.number(value)
    if age_s < 0:
        raise ValueError(f'expected an age of at least 0, got {value!r}')
    return age_s
