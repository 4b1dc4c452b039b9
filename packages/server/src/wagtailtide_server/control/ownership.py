"""Ownership of model engines: claim, hold, hand over and release.

An owner may send orders only while its lease is valid by its own clock and
still in the epoch in which it claimed the server. After the lease has ended,
it has to claim the server again.
"""

import dataclasses
import logging

import anyio
from wagtailtide_core.leases import ownership
from wagtailtide_core.membership import overlay

from wagtailtide_server.control import owner_watch
from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import client
from wagtailtide_server.storage import write_outcome

LOG = logging.getLogger(__name__)

HAND_OVER_AFTER_S = 60.0
RESOLVE_TIMEOUT_S = 5.0
# Interval at which the second preferred owner tries to claim a server, in case
# its peers see the first one as live but it cannot reach the store. Also the
# interval of checks for a hand-over.
BACKUP_CHECK_INTERVAL_S = 60.0


def object_key(server):
    """Return the key of a backend server's object in the store."""
    return f'servers/{server}'


@dataclasses.dataclass
class Owned:
    """A server that this instance owns.

    Attributes:
        declared: Declaration of the server.
        record: ServerRecord that this instance last wrote.
        version: Store version of the object.
        epoch: Epoch of the lease in which it was claimed.
        lock: Held while an order is sent or the record is written.
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
        owned: Dict from server name to Owned.
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
        self._watch = owner_watch.OwnerWatch(plane, store)
        self._next_check_at = {}
        self._unowned_versions = {}

    @property
    def name(self):
        """Name of this instance."""
        return self._plane.view.local_member.name

    def may_order(self, owned):
        """Return whether an Owned allows orders to be sent now."""
        return (
            self.owned.get(owned.declared.name) is owned
            and self._plane.caught_up
            and self._lease.is_valid(anyio.current_time())
            and self._lease.epoch == owned.epoch
        )

    def check_order(self, owned):
        """Raise InvariantError unless an order may be sent now."""
        self._invariants.check(
            'order_only_by_owner',
            self.may_order(owned),
            server=owned.declared.name,
            fence=owned.fence,
            valid_until=self._lease.valid_until,
            caught_up=self._plane.caught_up,
        )

    def mark_lost(self, server):
        """Record that this instance no longer owns a server."""
        if self.owned.pop(server, None) is not None:
            LOG.warning('ownership lost', extra={'backend_server': server})

    def _drop(self, owned):
        if self.owned.get(owned.declared.name) is owned:
            self.mark_lost(owned.declared.name)

    async def reconcile(self, engines):
        """Claim and release servers to match engines and live members.

        Args:
            engines: Declared engines by name.
        """
        self._watch.record_states()
        for name in [n for n in self.owned if n not in engines]:
            await self.release(name)
        for name, declared in sorted(engines.items()):
            first, second = self.preferred_owners(declared)
            if name in self.owned:
                self.owned[name].declared = declared
                if await self._should_hand_over(name, first):
                    await self.release(name)
            elif first == self.name:
                await self._try_claim(declared)
            elif second == self.name and self._is_due(
                name, BACKUP_CHECK_INTERVAL_S
            ):
                await self._try_claim(declared, defer_to_preferred=True)
            if name in self.owned and not self._has_current_claim(name):
                await self._try_claim(declared)

    def preferred_owners(self, declared):
        """Return the two preferred owners of a server, best first.

        Returns:
            Two names; the second is None if only one instance is live.
        """
        live = self._plane.view.live()
        in_zone = [m.name for m in live.values() if m.zone == declared.zone]
        names = in_zone if len(in_zone) > 1 else list(live)
        ranked = overlay.rendezvous(f'server/{declared.name}', names, 2)
        return (*ranked, None)[:2]

    async def _should_hand_over(self, server, preferred):
        if preferred == self.name or not self._is_due(
            server, BACKUP_CHECK_INTERVAL_S
        ):
            return False
        if self._watch.live_for_s(preferred) < HAND_OVER_AFTER_S:
            return False
        # A member that cannot reach the store could not claim it.
        return await self._watch.is_renewed(preferred)

    def _is_due(self, server, interval_s):
        now = anyio.current_time()
        if now < self._next_check_at.get(server, 0.0):
            return False
        self._next_check_at[server] = now + interval_s
        return True

    def _has_current_claim(self, name):
        owned = self.owned.get(name)
        return owned is not None and owned.epoch == self._lease.epoch

    async def _try_claim(self, declared, defer_to_preferred=False):
        """Claim a server if that is allowed.

        Args:
            declared: Declaration of the server.
            defer_to_preferred: Whether to claim a server without an owner only
                if nobody has claimed it since the last call, which gives the
                preferred owner time to do so.
        """
        try:
            await self._claim(declared, defer_to_preferred)
        except client.StoreError as exc:
            LOG.info(
                'backend server not claimed',
                extra={'backend_server': declared.name, 'error': str(exc)},
            )

    async def _claim(self, declared, defer_to_preferred):
        found = await self._store.get(
            object_key(declared.name), activity=budgets.Activity.OWNERSHIP
        )
        record = _decode(found)
        boot = self._plane.boot
        reason = 'own'
        if record is None or (record.owner, record.boot) != (self.name, boot):
            evidence = await self._watch.gather_evidence(record)
            reason = ownership.may_take_over(
                record, declared.checks_fences, evidence
            )
        if reason is None:
            return
        if defer_to_preferred and reason is ownership.Takeover.RELEASED:
            # Claimed only if the preferred owner has not done so since the
            # last call.
            version = found.version if found else 0
            known = self._unowned_versions.get(declared.name)
            self._unowned_versions[declared.name] = version
            if known != version:
                return
        now = anyio.current_time()
        epoch = self._lease.epoch
        if not self._lease.is_valid(now) or not self._plane.caught_up:
            return
        # Written also if the record names this process already: it no longer
        # knows its earlier orders, so the new fencing token outdates them.
        taken = (record or ownership.ServerRecord()).taken_over_by(
            self.name, boot
        )
        version = await write_outcome.put_and_resolve(
            self._store,
            object_key(declared.name),
            taken.encode(),
            found.version if found else None,
            lambda value: _holds_takeover(value, found, taken),
            timeout_s=RESOLVE_TIMEOUT_S,
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

    async def write_pending(self, owned, pending):
        """Record in the store orders that may still take effect.

        Called before they are sent. The caller holds the server's lock.

        Raises:
            StoreError: If it is not certain that they were recorded.
        """
        record = dataclasses.replace(
            owned.record, fence=owned.fence, pending=tuple(pending)
        )
        await self._write(owned, record)

    async def raise_fence(self, owned):
        """Take a higher fencing token, so that older orders are refused.

        The caller holds the server's lock.

        Raises:
            StoreError: If it is not certain that it was taken.
        """
        await self._write(
            owned, owned.record.taken_over_by(self.name, owned.record.boot)
        )

    async def _write(self, owned, record):
        name = owned.declared.name
        try:
            version = await write_outcome.put_and_resolve(
                self._store,
                object_key(name),
                record.encode(),
                owned.version,
                timeout_s=RESOLVE_TIMEOUT_S,
                activity=budgets.Activity.OWNERSHIP,
            )
        except client.Conflict:
            self._drop(owned)
            raise
        except client.WriteUnknown:
            # `reconcile` claims it again once the store responds.
            self._drop(owned)
            raise
        owned.record, owned.version = record, version

    async def release(self, server):
        """Release a server once no order is being sent to it."""
        owned = self.owned[server]
        async with owned.lock:
            if self.owned.get(server) is not owned:
                return
            del self.owned[server]
            try:
                await write_outcome.put_and_resolve(
                    self._store,
                    object_key(server),
                    owned.record.released(owned.version).encode(),
                    owned.version,
                    timeout_s=RESOLVE_TIMEOUT_S,
                    activity=budgets.Activity.OWNERSHIP,
                )
            except client.StoreError as exc:
                LOG.info(
                    'backend server not released',
                    extra={'backend_server': server, 'error': str(exc)},
                )

    async def release_all(self):
        """Release all servers before a planned stop."""
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


def _holds_takeover(value, found, taken):
    # If the record named this process already, the value before the write and
    # the value written can be equal, so the value does not tell them apart.
    return value == taken.encode() and (
        found is None or found.value != taken.encode()
    )
