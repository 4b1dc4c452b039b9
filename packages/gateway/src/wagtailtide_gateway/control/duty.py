"""The duty of one instance to order, share rates and pass news on."""

import dataclasses
import logging
import random

import anyio

from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.decisions import lease

LOG = logging.getLogger(__name__)

DUTY_NAME = 'holder'

# Pause between two reads of the duty's object while the holder is not heard,
# with a random part so that the instances do not read all at once.
LOOK_S = 0.5

# Reads begin after this time without an answer of the holder.
UNHEARD_S = 1.0


class Duty:
    """This instance's view of the duty, and the lease if it holds it.

    Attributes:
        record: The DutyRecord as last read or written, or None.
        fence: Fencing number if this instance holds the duty, else None.
    """

    def __init__(self, client, port, cfg, clock, instance_count):
        self._client = client
        self._kind = port.duty_kind
        self._decode = _decode
        self._cfg = cfg
        self._clock = clock
        self._instance_count = instance_count
        self._watch = lease.LeaseObserver()
        self._revision = None
        self._renewal_sent_at = float('-inf')
        self._heard_at = clock()
        self._refuses = False
        self._resigned = None
        self._stopping = False
        self.record = None
        self.fence = None

    @property
    def is_held(self):
        """Whether this instance holds the duty and may act on it."""
        return self.fence is not None and lease.is_lease_valid(
            self._clock(), self._renewal_sent_at, self._cfg.lease_s
        )

    def heard_holder(self):
        """Note that the holder answered."""
        self._heard_at = self._clock()
        self._refuses = False

    def holder_failed(self, refuses):
        """Note that the holder did not answer.

        Args:
            refuses: Whether its address refused the connection.
        """
        self._refuses = refuses

    def holder_resigned(self):
        """Note that the holder itself says that it may not act."""
        self._resigned = self.record
        self._heard_at = float('-inf')

    def superseded(self, reason):
        """Give the duty up because another instance has taken it."""
        if self.fence is not None:
            LOG.warning(
                'duty lost', extra={'fence': self.fence, 'reason': reason}
            )
        self.fence = None
        self._heard_at = float('-inf')

    async def run(self):
        """Renew the lease, or look whether the duty has to be taken."""
        while not self._stopping:
            if self.fence is not None:
                await self._renew()
                await anyio.sleep(lease.RENEW_INTERVAL_S)
            else:
                await self._look()
                await anyio.sleep(LOOK_S * (0.7 + 0.6 * random.random()))

    async def give_up(self):
        """Let another instance take the duty at once."""
        self._stopping = True
        if self.fence is None:
            return
        fence, self.fence = self.fence, None
        released = dataclasses.replace(self.record, holder='')
        try:
            await self._write(released)
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            LOG.info(
                'duty not released', extra={'fence': fence, 'reason': str(exc)}
            )
        else:
            LOG.info('duty released', extra={'fence': fence})

    async def _renew(self):
        record = dataclasses.replace(
            self.record,
            renewals=self.record.renewals + 1,
            instances=self._instance_count(),
        )
        sent_at = self._clock()
        try:
            await self._write(record)
        except stores.Conflict:
            await self._settle(record, sent_at)
        except stores.StoreUnavailable as exc:
            if not self.is_held:
                self.superseded(f'lease ended: {exc}')
        else:
            self._renewal_sent_at = sent_at

    async def _settle(self, record, sent_at):
        """Find out who changed the object: a lost answer, or another."""
        found = await self._read()
        if found is None:
            return
        if found.holder == record.holder and found.fence == record.fence:
            self.record = found
            return
        self.superseded(f'held by {found.holder}')

    async def _look(self):
        if self._clock() - self._heard_at < UNHEARD_S and self.record:
            return
        sent_at = self._clock()
        if not await self._read_object():
            return
        received_at = self._clock()
        self._watch.observe(self.record, sent_at, received_at)
        resigned = self._resigned is not None and self._resigned == self.record
        if resigned or self._watch.may_take_over(
            self._cfg.lease_s, self._refuses, self._cfg.instance
        ):
            await self._take()

    async def _take(self):
        previous = self.record
        record = lease.DutyRecord(
            holder=self._cfg.instance,
            host=self._cfg.peers.host,
            port=self._cfg.peers.port,
            fence=previous.fence + 1 if previous else 1,
            renewals=0,
            instances=previous.instances if previous else 0,
        )
        sent_at = self._clock()
        try:
            await self._write(record)
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            LOG.info('duty not taken', extra={'reason': str(exc)})
            return
        self._renewal_sent_at = sent_at
        self.fence = record.fence
        LOG.info(
            'duty taken',
            extra={
                'fence': record.fence,
                'previous': previous.holder if previous else None,
                'revision': self._revision,
            },
        )

    async def _write(self, record):
        value = dataclasses.asdict(record)
        if self._revision is None:
            obj = await self._client.create(self._kind, DUTY_NAME, value)
        else:
            obj = await self._client.replace(
                self._kind, DUTY_NAME, value, self._revision
            )
        self.record, self._revision = record, obj.revision

    async def _read(self):
        return self.record if await self._read_object() else None

    async def _read_object(self):
        try:
            obj = await self._client.get(self._kind, DUTY_NAME)
            if obj is None:
                self.record = self._revision = None
            else:
                self.record = _decode(obj.value)
                self._revision = obj.revision
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            LOG.info('duty unknown', extra={'reason': str(exc)})
            return False
        return True


def _decode(value):
    try:
        return lease.DutyRecord(
            str(value['holder']),
            str(value['host']),
            int(value['port']),
            int(value['fence']),
            int(value['renewals']),
            int(value['instances']),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise stores.StoreUnavailable(
            f'expected a duty record, got {value!r}'
        ) from exc
