"""Renew this instance's session object in the store."""

import logging

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.leases import session as sessions

from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import client

LOG = logging.getLogger(__name__)

RENEW_INTERVAL_S = 60.0
RETRY_INTERVAL_S = 5.0
KEY_PREFIX = 'sessions/'


class Session:
    """The session object ``sessions/<instance name>`` and its leases.

    Attributes:
        name: Name of the instance.
        boot: Random number that identifies this process.
        rates: Lease of the rate slots.
        ownership: Lease of the owned backend servers.
        replaced: Whether a later start of the instance wrote the object;
            this process then never holds a lease again.
    """

    def __init__(self, plane, store, *, address, zone, name, rng):
        self.name, self.boot = name, plane.boot
        self.rates, self.ownership = sessions.Lease(), sessions.Lease()
        self.replaced = False
        self._plane, self._store, self._rng = plane, store, rng
        self._address, self._zone = address, zone
        self._version, self._counter = None, 0
        self._has_read = False

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Renew periodically until cancelled or replaced."""
        task_status.started()
        while not self.replaced:
            renewed = await self.renew()
            pause = RENEW_INTERVAL_S if renewed else RETRY_INTERVAL_S
            await anyio.sleep(pause * self._rng.uniform(0.9, 1.1))

    async def renew(self):
        """Write one renewal; return whether the store holds it."""
        try:
            if not self._has_read:
                await self._read_predecessor()
            return await self._write()
        except client.StoreError as exc:
            LOG.warning('session not renewed', extra={'error': str(exc)})
            return False

    async def leave(self):
        """End the leases and delete the object.

        What the leases cover must have been released before.
        """
        self.rates.end()
        self.ownership.end()
        if self._version is None or self.replaced:
            return
        try:
            await self._store.delete(
                KEY_PREFIX + self.name,
                self._version,
                activity=budgets.Activity.SESSION,
            )
        except client.StoreError as exc:
            LOG.warning('session not deleted', extra={'error': str(exc)})

    async def _read_predecessor(self):
        current = await self._get()
        self._version = current.version if current else None
        self._has_read = True

    async def _get(self):
        return await self._store.get(
            KEY_PREFIX + self.name, activity=budgets.Activity.SESSION
        )

    async def _write(self):
        record = self._next_record()
        sent_at = anyio.current_time()
        self.rates.record_sent(sent_at, record.rate_horizon_s)
        self.ownership.record_sent(sent_at, record.ownership_horizon_s)
        try:
            self._version = await self._store.put(
                KEY_PREFIX + self.name,
                record.encode(),
                self._version,
                activity=budgets.Activity.SESSION,
            )
        except (client.Conflict, client.WriteUnknown):
            if not await self._resolve_renewal(record):
                return False
        self._confirm(record, sent_at)
        return True

    def _next_record(self):
        self._counter += 1
        documents = self._plane.config.catalog.documents.values()
        limits = [d.limits for d in documents] or [schema.Limits()]
        return sessions.SessionRecord(
            name=self.name,
            boot=self.boot,
            counter=self._counter,
            address=self._address,
            zone=self._zone,
            rate_horizon_s=min(x.rate_horizon_s for x in limits),
            ownership_horizon_s=min(x.ownership_horizon_s for x in limits),
        )

    async def _resolve_renewal(self, record):
        """Read the object; return whether the renewal was written."""
        current = await self._get()
        if current is None:
            self._version = None
            return False
        if current.version == self._version:
            return False
        if sessions.SessionRecord.decode(current.value).boot != self.boot:
            # The peer port is bound by one process, so a later start of this
            # instance means that this process should have ended.
            self.replaced = True
            self.rates.end()
            self.ownership.end()
            LOG.error('session replaced by a later start of the instance')
            return False
        self._version = current.version
        return current.value == record.encode()

    def _confirm(self, record, sent_at):
        now = anyio.current_time()
        self.rates.record_confirmed(sent_at, record.rate_horizon_s, now)
        self.ownership.record_confirmed(
            sent_at, record.ownership_horizon_s, now
        )
