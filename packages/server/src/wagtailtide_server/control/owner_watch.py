"""Evidence of whether owners and preferred owners of servers are live."""

import anyio
from wagtailtide_core.leases import observer
from wagtailtide_core.leases import ownership
from wagtailtide_core.leases import session as sessions
from wagtailtide_core.membership import view as views

from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import client


class OwnerWatch:
    """Tracks how long members are in a state, and versions of sessions."""

    def __init__(self, plane, store):
        self._plane = plane
        self._store = store
        self._observer = observer.SessionObserver()
        self._state_since = {}
        self._seen_versions = {}

    def record_states(self):
        """Record the current state of each member."""
        now = anyio.current_time()
        known = {member.name: member.state for member in self._plane.view}
        self._state_since = {
            name: self._state_since[name]
            if self._state_since.get(name, (None,))[0] == state
            else (state, now)
            for name, state in known.items()
        }

    def live_for_s(self, name):
        """Return for how many seconds this instance has seen it live."""
        return self._in_state_for_s(name, views.State.LIVE)

    def _in_state_for_s(self, name, wanted):
        state, since = self._state_since.get(name, (None, 0.0))
        return anyio.current_time() - since if state == wanted else 0.0

    async def is_renewed(self, name):
        """Read a session; return whether it changed since the last call."""
        try:
            found = await self._store.get(
                f'sessions/{name}', activity=budgets.Activity.OWNERSHIP
            )
        except client.StoreError:
            return False
        version = found.version if found else None
        known = self._seen_versions.get(name)
        self._seen_versions[name] = version
        return known is not None and version not in (None, known)

    async def gather_evidence(self, record):
        """Read the session of a record's owner; return OwnerEvidence.

        Args:
            record: ServerRecord, as read before; None if there is none.

        Raises:
            StoreError: If the session could not be read.
        """
        if record is None or record.owner is None:
            return ownership.OwnerEvidence(None, 0.0, False)
        sent_at = anyio.current_time()
        found = await self._store.get(
            f'sessions/{record.owner}', activity=budgets.Activity.OWNERSHIP
        )
        now = anyio.current_time()
        version = found.version if found else None
        self._observer.observe(record.owner, version, sent_at, now)
        session = _decode(found) if found else None
        horizon_s = (
            session.ownership_horizon_s if session else self._horizon_s()
        )
        return ownership.OwnerEvidence(
            session.boot if session else None,
            self._in_state_for_s(record.owner, views.State.FAILED),
            self._observer.has_lapsed(record.owner, horizon_s),
        )

    def _horizon_s(self):
        documents = self._plane.config.catalog.documents.values()
        return max(
            (d.limits.ownership_horizon_s for d in documents), default=900.0
        )


def _decode(found):
    try:
        return sessions.SessionRecord.decode(found.value)
    except ValueError as exc:
        raise client.Unavailable(f'{found.key}: {exc}') from exc
