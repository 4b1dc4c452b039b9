"""Ownership of model engines: claim, hold, hand over and release.

An owner may order only while its lease is valid by its own clock and in the
epoch of the claim: after a lease that ended, the server is claimed again.
"""

import dataclasses
import logging

import anyio
from wagtailtide_core.leases import observer
from wagtailtide_core.leases import ownership
from wagtailtide_core.leases import session as sessions
from wagtailtide_core.membership import overlay
from wagtailtide_core.membership import view as views

from wagtailtide_server.platform import budget as budgets
from wagtailtide_server.platform import client
from wagtailtide_server.platform import settle

LOG = logging.getLogger(__name__)

HAND_OVER_AFTER_S = 60.0
SETTLE_S = 5.0


def key_of(server):
    """Return the key of a backend server's object."""
    return f'servers/{server}'


@dataclasses.dataclass
class Owned:
    """A server that this instance owns.

    Attributes:
        declared: Declaration of the server.
        record: Its object's record as this instance wrote it last.
        version: Store version of the object.
        epoch: Epoch of the lease in which it was claimed.
        lock: Held while an order is sent and while the record is written.
    """

    declared: object
    record: ownership.ServerRecord
    version: int
    epoch: int
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)

    @property
    def fence(self):
        """Fencing token of the owner."""
        return self.record.fence_at(self.version)


class Ownership:
    """Servers that this instance owns.

    Attributes:
        owned: Owned by server name.
    """

    def __init__(self, plane, store, lease, invariants):
        """Create the ownership.

        Args:
            plane: Control plane.
            store: StoreClient.
            lease: Lease of this instance's session for owned servers.
            invariants: Invariants.
        """
        self.owned = {}
        self._plane = plane
        self._store = store
        self._lease = lease
        self._invariants = invariants
        self._observer = observer.SessionObserver()
        self._state_since = {}

    @property
    def name(self):
        """Name of this instance."""
        return self._plane.view.me.name

    def may_order(self, own):
        """Return whether orders may be sent now by virtue of an Owned."""
        return (
            self.owned.get(own.declared.name) is own
            and self._plane.caught_up
            and self._lease.is_valid(anyio.current_time())
            and self._lease.epoch == own.epoch
        )

    def check_order(self, own):
        """Assert that an order may be sent; raises InvariantError."""
        self._invariants.check(
            'order_only_by_owner',
            self.may_order(own),
            server=own.declared.name,
            fence=own.fence,
            valid_until=self._lease.valid_until,
            caught_up=self._plane.caught_up,
        )

    def lost(self, server):
        """Note that another instance has become the owner."""
        if self.owned.pop(server, None) is not None:
            LOG.warning('ownership lost', extra={'backend_server': server})

    def _drop(self, own):
        if self.owned.get(own.declared.name) is own:
            self.lost(own.declared.name)

    async def follow(self, engines):
        """Claim and hand over servers as members come and go.

        Args:
            engines: Declared engines by name.
        """
        self._note_states()
        for name in [n for n in self.owned if n not in engines]:
            await self.release(name)
        for name, declared in sorted(engines.items()):
            preferred = self.preferred_owner(declared)
            if name in self.owned:
                self.owned[name].declared = declared
                if preferred != self.name and self._live_for_s(preferred) >= (
                    HAND_OVER_AFTER_S
                ):
                    await self.release(name)
                    continue
            if preferred == self.name and not self._holds(name):
                await self._try_claim(declared)

    def preferred_owner(self, declared):
        """Return the name of the instance that should own a server."""
        live = self._plane.view.live()
        near = [m.name for m in live.values() if m.zone == declared.zone]
        names = near or list(live)
        return overlay.rendezvous(f'server/{declared.name}', names, 1)[0]

    def _holds(self, name):
        own = self.owned.get(name)
        return own is not None and own.epoch == self._lease.epoch

    def _note_states(self):
        now = anyio.current_time()
        known = {member.name: member.state for member in self._plane.view}
        self._state_since = {
            name: self._state_since[name]
            if self._state_since.get(name, (None,))[0] == state
            else (state, now)
            for name, state in known.items()
        }

    def _live_for_s(self, name):
        return self._in_state_for_s(name, views.State.LIVE)

    def _in_state_for_s(self, name, wanted):
        state, since = self._state_since.get(name, (None, 0.0))
        return anyio.current_time() - since if state == wanted else 0.0

    async def _try_claim(self, declared):
        try:
            await self._claim(declared)
        except client.StoreError as exc:
            LOG.info(
                'backend server not claimed',
                extra={'backend_server': declared.name, 'error': str(exc)},
            )

    async def _claim(self, declared):
        found = await self._store.get(
            key_of(declared.name), activity=budgets.Activity.OWNERSHIP
        )
        record = _decode(found)
        boot = self._plane.boot
        reason = 'own'
        if record is None or (record.owner, record.boot) != (self.name, boot):
            evidence = await self._evidence(record)
            reason = ownership.may_take_over(
                record, declared.checks_fences, evidence
            )
        if reason is None:
            return
        now = anyio.current_time()
        epoch = self._lease.epoch
        if not self._lease.is_valid(now) or not self._plane.caught_up:
            return
        # Also if the record is our own already: what this process knew of
        # earlier orders is not known any more, so they get an older token.
        taken = (record or ownership.ServerRecord()).taken(self.name, boot)
        version = await settle.put_settled(
            self._store,
            key_of(declared.name),
            taken.encode(),
            found.version if found else None,
            lambda value: _is_taken_by(value, found, taken),
            timeout_s=SETTLE_S,
            activity=budgets.Activity.OWNERSHIP,
        )
        if self._lease.epoch != epoch:
            return
        self.owned[declared.name] = Owned(declared, taken, version, epoch)
        LOG.info(
            'backend server claimed',
            extra={
                'backend_server': declared.name,
                'fence': version,
                'reason': str(reason),
            },
        )

    async def _evidence(self, record):
        if record is None or record.owner is None:
            return ownership.OwnerEvidence(None, 0.0, False)
        sent_at = anyio.current_time()
        found = await self._store.get(
            f'sessions/{record.owner}', activity=budgets.Activity.OWNERSHIP
        )
        now = anyio.current_time()
        version = found.version if found else None
        self._observer.observe(record.owner, version, sent_at, now)
        held = sessions.SessionRecord.decode(found.value) if found else None
        horizon_s = held.ownership_horizon_s if held else self._horizon_s()
        return ownership.OwnerEvidence(
            held.boot if held else None,
            self._in_state_for_s(record.owner, views.State.FAILED),
            self._observer.has_lapsed(record.owner, horizon_s),
        )

    def _horizon_s(self):
        documents = self._plane.config.catalog.documents.values()
        return max(
            (d.limits.ownership_horizon_s for d in documents), default=900.0
        )

    async def write_pending(self, own, pending):
        """Record orders that may still take effect, before they are sent.

        The caller holds the server's lock.

        Raises:
            StoreError: If it is not certain that they are recorded.
        """
        record = dataclasses.replace(
            own.record, fence=own.fence, pending=tuple(pending)
        )
        await self._write(own, record)

    async def raise_fence(self, own):
        """Take a higher fencing token, so that older orders are refused.

        The caller holds the server's lock.

        Raises:
            StoreError: If it is not certain that it was taken.
        """
        await self._write(own, own.record.taken(self.name, own.record.boot))

    async def _write(self, own, record):
        name = own.declared.name
        try:
            version = await settle.put_settled(
                self._store,
                key_of(name),
                record.encode(),
                own.version,
                timeout_s=SETTLE_S,
                activity=budgets.Activity.OWNERSHIP,
            )
        except client.Conflict:
            self._drop(own)
            raise
        except client.WriteUnknown:
            # Claimed again once the store responds.
            self._drop(own)
            raise
        own.record, own.version = record, version

    async def release(self, server):
        """Give up a server after the order that is being sent to it."""
        own = self.owned[server]
        async with own.lock:
            if self.owned.get(server) is not own:
                return
            del self.owned[server]
            try:
                await settle.put_settled(
                    self._store,
                    key_of(server),
                    own.record.released(own.version).encode(),
                    own.version,
                    timeout_s=SETTLE_S,
                    activity=budgets.Activity.OWNERSHIP,
                )
            except client.StoreError as exc:
                LOG.info(
                    'backend server not released',
                    extra={'backend_server': server, 'error': str(exc)},
                )

    async def release_all(self):
        """Give up all servers, before a planned stop."""
        async with anyio.create_task_group() as group:
            for server in list(self.owned):
                group.start_soon(self.release, server)


def _decode(found):
    if found is None:
        return None
    try:
        return ownership.ServerRecord.decode(found.value)
    except ValueError as exc:
        raise client.Unavailable(f'{found.key}: {exc}') from exc


def _is_taken_by(value, found, taken):
    # A record that was this instance's before reads the same as the one that
    # is being written; only the version tells them apart.
    return value == taken.encode() and (
        found is None or found.value != taken.encode()
    )
