"""Backend servers as this instance knows them."""

import logging

from wagtailtide_gateway import ports
from wagtailtide_gateway.control import cold_servers
from wagtailtide_gateway.control import digests
from wagtailtide_gateway.control import evacuations as evacuations_
from wagtailtide_gateway.control import server_entries
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.decisions import brittle_servers
from wagtailtide_gateway.decisions import cold_servers as cold_decisions
from wagtailtide_gateway.decisions import health
from wagtailtide_gateway.decisions import reachability
from wagtailtide_gateway.decisions import server_limits

LOG = logging.getLogger(__name__)

# Entries that expired during a store outage are written again within about
# this many seconds of its end. One still missing then is removed.
MISSING_GRACE_S = 2.0

# Seconds for which a software version counts after its last server has left:
# the longest time for which a stream that it began may be resumed.
VERSION_TTL_S = stream_origins.ORIGIN_TTL_S

# An instance that has no current list for this many seconds may have missed a
# server that came and went. Leaving alone takes a server this long.
VERSION_GAP_S = 2.0

# Weight of the latest request in the mean service time.
SERVICE_TIME_SMOOTHING = 0.05


class ServerView:
    """All listed backend servers.

    Args:
        decode: Function that makes a BackendServer of a StoredObject.
        on_change: Function that is called when the servers change.
        evacuations: EvacuationView of the instance, None if zones cannot be
            evacuated.
        suspended_s: Function that returns for how many seconds the machine
            was suspended, a time that the other times do not include.

    Attributes:
        states: ServerState by server id.
        health: Failure rates of the servers.
        reachability: Which of them this instance can connect to.
        has_list: Whether a whole list has been received.
        own_list_count: Number of whole lists that this instance has read.
        new_state_count: Number of servers, and of their restarts, that this
            instance has learned of.
        cold_rule_of: Function from the name of a service to its ColdRule, or
            None.
        brittle_limit_of: Function from a BackendServer to its BrittleLimit.
    """

    def __init__(
        self,
        decode,
        on_change,
        evacuations=None,
        suspended_s=lambda: 0.0,
    ):
        self._suspended_s = suspended_s
        # Time up to which the list was followed, time in suspend included.
        self._followed_until = None
        self._evacuations = evacuations or evacuations_.EvacuationView()
        self._decode = decode
        self._on_change = on_change
        self._store_recovered_at = None
        self._service_times = {}
        self._entries = server_entries.ServerEntries()
        self._confirmed_at = float('-inf')
        self._list_failed_at = float('-inf')
        self._listed_since = None
        self._has_earlier_versions = False
        self._versions_left_at = {}
        self.states = {}
        self.health = health.Health()
        self.reachability = reachability.Reachability()
        self.has_list = False
        self.own_list_count = 0
        self.new_state_count = 0
        self.cold_rule_of = lambda service: None
        self.brittle_limit_of = lambda server: brittle_servers.BrittleLimit()

    @property
    def entry_number(self):
        """Number of the last change of an entry, other than of its models."""
        return self._entries.last_change

    @property
    def is_cut_off(self):
        """Whether this instance reaches none of the listed servers."""
        return bool(
            self.reachability.unreachable
        ) and self.reachability.is_cut_off(contactable_ids(self.states))

    def apply_list(self, objects, revision, now):
        """Apply a whole list of entries and handle the missing ones.

        Args:
            objects: StoredObject of each entry.
            revision: Revision of the store at which they were listed.
            now: Time in seconds.
        """
        if self._entries.is_outdated_list(revision):
            return
        self._note_era(revision, now)
        listed = set()
        for obj in objects:
            listed.add(obj.name)
            self._upsert(obj, now)
        self._entries.note_list(revision, listed)
        for server_id in self.states.keys() - listed:
            self._handle_missing(server_id, now)
        self._note_listed(now)
        self.own_list_count += 1
        self._on_change()

    def _note_listed(self, now):
        self.has_list = True
        if self._listed_since is None:
            self._listed_since = now

    def apply_changes(self, changes, now):
        """Apply changes reported by a watch."""
        for change in changes:
            if change.deleted:
                self._handle_missing(change.object.name, now)
            else:
                self._upsert(change.object, now)
        if changes:
            self._on_change()

    def _note_era(self, revision, now):
        """Prepare for entries of a restored store, which may be older."""
        if not self._entries.begins_era(revision, now):
            return
        leaving = [s for s in self.states.values() if s.server.leaving]
        LOG.warning(
            'server list restored',
            extra={
                'era': self._entries.era,
                'revision': revision,
                'servers': len(self.states),
                'leaving': len(leaving),
            },
        )
        for state in leaving:
            # A process that leaves does not come back from that.
            state.note_leaving(f'entry before era {self._entries.era}')
        # Servers that registered after the copy was made write again.
        self.note_store_recovered(now)

    def confirm(self, at):
        """Record that the list was current at a time in seconds."""
        self._confirmed_at = max(at, self._confirmed_at)
        self._note_gap(at)

    def _note_gap(self, at):
        """Forget that all versions are known if some may have been missed."""
        until = at + self._suspended_s()
        previous, self._followed_until = self._followed_until, until
        if previous is None:
            return
        self._followed_until = max(until, previous)
        if until - previous < VERSION_GAP_S:
            return
        if self.knows_all_versions(at):
            LOG.info(
                'software versions uncertain',
                extra={
                    'gap_s': round(until - previous, 2),
                    'versions': len(self.software_versions(at)),
                },
            )
        self._has_earlier_versions = False
        self._listed_since = at

    def age_s(self, now):
        """Return the seconds since the list was last known to be current."""
        return now - self._confirmed_at

    def note_list_failed(self, now):
        """Record that the store gives this instance no list."""
        self._list_failed_at = now

    def is_outdated(self, max_age_s, now):
        """Return whether the list may lack a server's leaving for too long.

        A list is used at any age while the store is down: then no leaving can
        be confirmed, and it is better than none. No list is used before it is
        known which zones are evacuated.

        Args:
            max_age_s: Largest age of the list in seconds.
            now: Time in seconds.
        """
        if not self._evacuations.is_known:
            return True
        expired_at = self._confirmed_at + max_age_s
        return now > expired_at and self._list_failed_at < expired_at

    def entry_digests(self):
        """Return the digest of each listed server by server id."""
        return {
            server_id: digests.server_digest(state.server)
            for server_id, state in self.states.items()
        }

    def changed_entries(self, number, known):
        """Return the entries that an instance lacks, None for removed ones.

        Args:
            number: Number of the last change that it has, 0 if it has none of
                this instance's changes.
            known: Digest by server id of the servers that it has, used
                without a number.
        """
        if number:
            return self._entries.changed_since(number)
        current = self.entry_digests()
        entries = dict.fromkeys(known.keys() - current.keys())
        for server_id, digest in current.items():
            if known.get(server_id) != digest:
                entries[server_id] = self._entries.latest(server_id)
        return entries

    def apply_entries(self, entries, now):
        """Apply the changed entries from an update of the leader.

        Args:
            entries: StoredObject by server id, None for a removed one.
            now: Time in seconds.
        """
        for server_id, obj in entries.items():
            if obj is not None:
                self._upsert(obj, now)
            elif server_id in self.states:
                self._delete(server_id, 'removed by the leader', now)
        self._note_listed(now)
        if entries:
            self._on_change()

    def note_store_recovered(self, now):
        """Record that the store answers again after an outage."""
        self._store_recovered_at = now

    def drop_missing(self, now):
        """Remove the servers whose entries have been missing too long."""
        for server_id, state in list(self.states.items()):
            since = state.missing_since
            if since is not None and now - since >= MISSING_GRACE_S:
                self._delete(
                    server_id,
                    'entry still missing after the store outage',
                    now,
                )

    def _upsert(self, obj, now):
        self._note_era(obj.revision, now)
        if self._entries.is_outdated(obj):
            # The leader's list may be older than the own one, and its entry
            # would undo a later change, such as that the server leaves.
            return
        server, digest = self._decode_entry(obj)
        if server is None:
            return
        state = known_state = self.states.get(server.id)
        if state is None and self._entries.is_brought_back(server, now):
            return
        is_new_revision = self._entries.note(obj)
        if state is not None and state.server.residency.process_start_ms > (
            server.residency.process_start_ms
        ):
            return
        # An entry that went missing is passed on again even if it came back
        # unchanged, because the other instances may have removed it.
        is_changed = (
            state is None
            or digests.server_digest(state.server) != digest
            or state.missing_since is not None
        )
        if state is None or state.server.residency.process_start_ms != (
            server.residency.process_start_ms
        ):
            state = self._start_state(state, server, obj.revision, now)
        elif server.leaving and not state.server.leaving:
            LOG.info(
                'server leaves',
                extra={
                    'server': server.id,
                    'time_left_s': server.time_left_s,
                    'revision': obj.revision,
                },
            )
        if state.server.software_version != server.software_version:
            self._note_version_left(state, now)
        if is_changed:
            self._entries.change(obj.name, obj)
        else:
            self._entries.refresh(obj)
        state.server = server
        state.missing_since = None
        if is_new_revision:
            starts = self.has_list and state is not known_state
            cold_servers.record_entry(state, starts, now)

    def _start_state(self, previous, server, revision, now):
        """Return the state of a server's process that is newly listed.

        The previous process's residency, loads and refusals do not apply to a
        restarted server.

        Args:
            previous: ServerState of its previous process, None without any.
            server: The BackendServer in the entry.
            revision: Revision of the entry.
            now: Time in seconds.
        """
        if previous is not None:
            self._note_version_left(previous, now)
            # For requests whose connection is being opened.
            cold_servers.record_suspected(previous, 'replaced', now)
        state = self._return_state(server, now) or self._new_state(server)
        if previous is not None:
            previous.predecessor = None
            state.predecessor = previous
        self.states[server.id] = state
        self.reachability.forget(server.id)
        self.new_state_count += 1
        LOG.info(
            'server listed',
            extra={
                'server': server.id,
                'service': server.service,
                'software_version': server.software_version,
                'address': str(server.address),
                'revision': revision,
            },
        )
        return state

    def _decode_entry(self, obj):
        """Return BackendServer and digest of an entry, None for invalid."""
        try:
            server = self._decode(obj)
            return server, digests.server_digest(server)
        except ports.DECODE_ERRORS as exc:
            LOG.warning(
                'server entry ignored',
                extra={
                    'server': obj.name,
                    'revision': obj.revision,
                    'reason': repr(exc),
                },
            )
        return None, None

    def _new_state(self, server):
        cold = cold_decisions.ColdStart(
            lambda: self.cold_rule_of(server.service)
        )
        return server_state.ServerState(
            server,
            limit=server_limits.ServerLimit(
                cold, self.brittle_limit_of(server)
            ),
            evacuations=self._evacuations,
        )

    def _return_state(self, server, now):
        """Return the state of a process whose entry was away, or None.

        The process still wants what it has stated: a pause, its limit, or to
        leave.
        """
        state = self._entries.take_removed(server, now)
        if state is not None:
            state.reset_shared_data()
            if state.server.leaving:
                state.note_leaving('entry before its removal')
        return state

    def _handle_missing(self, server_id, now):
        state = self.states.get(server_id)
        if state is None:
            return
        recovered_at = self._store_recovered_at
        in_grace = (
            recovered_at is not None and now - recovered_at < MISSING_GRACE_S
        )
        if in_grace and not state.server.leaving:
            if state.missing_since is None:
                state.missing_since = now
            return
        self._delete(server_id, 'entry removed', now)

    def _delete(self, server_id, reason, now):
        state = self.states.pop(server_id)
        self._note_version_left(state, now)
        self._entries.note_removed(state, now)
        self._entries.change(server_id, None)
        self.health.retain(self.states.keys())
        self.reachability.forget(server_id)
        LOG.info('server gone', extra={'server': server_id, 'reason': reason})
        self._on_change()

    def _note_version_left(self, state, now):
        server = state.server
        self._versions_left_at[(server.service, server.software_version)] = now

    def note_earlier_versions(self, versions, now):
        """Record what servers there were before this instance started.

        Args:
            versions: Service and software version of each.
            now: Time in seconds.
        """
        self._has_earlier_versions = True
        for row in versions:
            self._versions_left_at[row] = now

    def note_versions(self, versions, now):
        """Record what servers there were while this instance started.

        Args:
            versions: Service and software version of each.
            now: Time in seconds.
        """
        if not self.is_settled(now):
            for row in versions:
                self._versions_left_at[row] = now

    def is_settled(self, now):
        """Return whether this instance has listed servers for long enough."""
        return (
            self._listed_since is not None
            and now - self._listed_since > VERSION_TTL_S
        )

    def knows_all_versions(self, now):
        """Return whether `software_versions` lacks none.

        It does if this instance has neither listed the servers for long enough
        nor learned what there was before.
        """
        if self._listed_since is None:
            return False
        return self._has_earlier_versions or self.is_settled(now)

    def software_versions(self, now):
        """Return service and software version of the servers known lately."""
        listed = {
            (state.server.service, state.server.software_version)
            for state in self.states.values()
        }
        left = {
            row
            for row, left_at in self._versions_left_at.items()
            if now - left_at <= VERSION_TTL_S
        }
        return tuple(sorted(listed | left))

    def has_several_versions(self, now):
        """Return whether a service has had several versions lately."""
        versions = self.software_versions(now)
        return len(versions) > len({service for service, _ in versions})

    def may_have_several_versions(self, now):
        """Return whether a service may have had several versions lately."""
        return not self.knows_all_versions(now) or self.has_several_versions(
            now
        )

    def only_version(self, service, now):
        """Return the only software version that a service has had lately.

        None if it has had several, or if not all of them are known.
        """
        if not self.knows_all_versions(now):
            return None
        versions = [v for s, v in self.software_versions(now) if s == service]
        return versions[0] if len(versions) == 1 else None

    def apply_residency(self, server_id, residency):
        """Apply a residency from an update of the leader."""
        state = self.states.get(server_id)
        if state is None:
            return
        if (
            residency.process_start_ms
            == state.server.residency.process_start_ms
        ):
            state.leader_residency = residency

    def discard_leader_residencies(self):
        """Use the listed residencies until the leader sends newer ones."""
        for state in self.states.values():
            state.leader_residency = None

    def sustained_share(self, server_id):
        """Return the share of its slots that a server sustains."""
        state = self.states.get(server_id)
        return 1.0 if state is None else state.capacity.slots_share

    def of_service(self, service):
        """Return the states of a service's servers."""
        return [s for s in self.states.values() if s.server.service == service]

    def note_zone_returned(self, zone, now):
        """Record that a zone is no longer evacuated.

        Its servers may have become cold shortly before, which their entries
        show only with their next heartbeat.
        """
        for state in self.states.values():
            if state.server.zone == zone:
                cold_servers.record_suspected(state, 'zone returns', now)

    def record_service_time(self, service, seconds):
        """Add a finished request to the mean service time of a service."""
        average = self._service_times.get(service, seconds)
        average += SERVICE_TIME_SMOOTHING * (seconds - average)
        self._service_times[service] = average

    def service_time_s(self, service, default_s):
        """Return the mean service time in seconds of a service's requests."""
        return self._service_times.get(service, default_s)


def contactable_ids(states):
    """Return the ids of the servers whose zones are not evacuated.

    Args:
        states: ServerState by server id.
    """
    return frozenset(
        server_id
        for server_id, state in states.items()
        if state.is_contactable
    )
