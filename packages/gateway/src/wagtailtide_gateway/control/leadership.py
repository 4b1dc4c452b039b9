"""Leader election by a lease in the store.

The leader places models, shares rates and sends updates to the other
instances.
"""

import dataclasses
import logging
import random

import anyio

from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.control import store_era
from wagtailtide_gateway.decisions import lease
from wagtailtide_gateway.decisions import pace

LOG = logging.getLogger(__name__)

LEASE_OBJECT_NAME = 'holder'

# Time in seconds between two reads of the lease while the leader does not
# answer. A random factor spreads the reads of the instances.
POLL_INTERVAL_S = 0.5

# Shortest time in seconds between two reads of a lease whose leader answers,
# for the software versions in it.
RECORD_INTERVAL_S = 1.0

# Timeout of a renewal, shorter than that of other calls: a renewal without an
# answer has to be repeated before the lease expires.
RENEWAL_TIMEOUT_S = 0.6

# Delay before a failed renewal is repeated.
RENEWAL_RETRY_DELAY_S = 0.1


class Leadership:
    """The leader as this instance knows it, and its own lease if it leads.

    Attributes:
        record: The DutyRecord as last read or written, or None. One that a
            restored store has lost is kept until there is a later one.
        fence: Fencing token if this instance is the leader, else None.
        resigned_fence: Last fencing token that this instance gave up, 0 if
            there is none.
        earlier_versions: Service and software version of the servers in the
            records that this instance has read and not noted yet. None if it
            has read none, or none that states them.
        first_revision: Revision of the lease when this instance first read
            it, -inf if there was none.
        first_crashes: Crashes in the record when this instance first read it.
        leads_first_term: Whether no instance has led before its term.
        previous_term_s: Duration in seconds, at least, of the term before the
            one of this instance.
    """

    def __init__(
        self, client, port, cfg, clock, cluster_summary, is_cut_off, era
    ):
        self._client = client
        self._era = era
        era.on_restore(self._note_restore)
        self._stored = None
        self._kind = port.lease_kind
        self._decode = _decode
        self._cfg = cfg
        self._clock = clock
        self._cluster_summary = cluster_summary
        self._is_cut_off = is_cut_off
        self._observer = lease.LeaseObserver()
        self._term_started_at = float('-inf')
        self._revision = None
        self._renewal_sent_at = float('-inf')
        self._unconfirmed_since = None
        self._last_response_at = clock()
        self._exchange_failed = False
        self._exchange_interval_s = pace.EXCHANGE_INTERVAL_S
        self._connection_refused = False
        self._others_resigned_fence = 0
        self._highest_fence = 0
        self._restored = anyio.Event()
        self._wants_record = False
        self._record_read_at = float('-inf')
        self._stopping = False
        self.record = None
        self.fence = None
        self.resigned_fence = 0
        self.earlier_versions = None
        self.first_revision = float('-inf')
        self.first_crashes = ()
        self._has_read = False
        self.leads_first_term = False
        self.previous_term_s = 0.0

    @property
    def is_leader(self):
        """Whether this instance is the leader and its lease is still valid."""
        return self.fence is not None and lease.is_lease_valid(
            self._clock(), self._renewal_sent_at, self._cfg.lease_s
        )

    @property
    def capacity(self):
        """Capacity of this instance to lead, in cores.

        It is 0 while the instance reaches no server, so it could give no
        orders.
        """
        if self._is_cut_off():
            return 0.0
        return lease.leading_capacity(self._cfg.cpu_cores, self._cfg.link_mbps)

    @property
    def is_given_up(self):
        """Whether the lease was given up and not taken over yet."""
        return not self._is_outdated and (
            self._is_resigned
            or (self.record is not None and not self.record.holder)
        )

    @property
    def _is_outdated(self):
        """Whether the stored lease is from before the store was restored.

        A leader may rely on a later lease that the store has lost, so the
        stored one, or that there is none, does not tell who leads.
        """
        fence = self._stored.fence if self._stored is not None else 0
        return self._is_of_earlier_era(fence)

    def _is_of_earlier_era(self, fence):
        era = self._era.current
        return era > store_era.FIRST_ERA and fence < store_era.first_fence(era)

    @property
    def _is_resigned(self):
        return (
            self.record is not None
            and self.record.fence <= self._others_resigned_fence
        )

    def _note_restore(self):
        # For how long the lease was unchanged before does not count.
        self._observer = lease.LeaseObserver()
        self._restored.set()

    def note_response(self, fence, instances):
        """Record that the leader answered.

        Args:
            fence: Its fencing token.
            instances: Number of instances that exchange with it.
        """
        self._highest_fence = max(fence, self._highest_fence)
        self._last_response_at = self._clock()
        self._exchange_failed = False
        self._exchange_interval_s = pace.exchange_interval_s(instances)
        self._connection_refused = False

    def note_failure(self, connection_refused):
        """Record that an exchange with the leader failed.

        Args:
            connection_refused: Whether the leader's address refused the
                connection.
        """
        self._exchange_failed = True
        self._connection_refused = connection_refused

    def note_refusal(self, resigned_fence):
        """Record that an instance answered that it is not the leader.

        The lease is read again. It may be taken over at once if its holder
        has given it up; a holder that has not yet received the answer to its
        own write has not.

        Args:
            resigned_fence: Last fencing token that the instance gave up.
        """
        self._others_resigned_fence = max(
            resigned_fence, self._others_resigned_fence
        )
        self._last_response_at = float('-inf')

    def request_record(self):
        """Read the lease soon, although the leader answers.

        Its writer may know software versions that this instance has missed.
        """
        self._wants_record = True

    def step_down(self, reason):
        """Stop leading, because the lease has expired or was taken over.

        Args:
            reason: Reason for the log.
        """
        if self.fence is not None:
            LOG.warning(
                'duty lost', extra={'fence': self.fence, 'reason': reason}
            )
            self.resigned_fence = self.fence
        self.fence = None
        self._last_response_at = float('-inf')

    async def run(self):
        """Renew the lease as the leader, else take over an expired one."""
        while not self._stopping:
            if self.fence is None:
                await self._poll()
                delay_s = POLL_INTERVAL_S * (0.7 + 0.6 * random.random())
            elif self._is_of_earlier_era(self.fence):
                await self._win_again()
                delay_s = RENEWAL_RETRY_DELAY_S
            elif self._should_hand_over():
                await self._give_up_lease()
                continue
            else:
                renewed = await self._renew()
                delay_s = (
                    lease.RENEW_INTERVAL_S
                    if renewed
                    else RENEWAL_RETRY_DELAY_S
                )
            with anyio.move_on_after(delay_s):
                await self._restored.wait()
            self._restored = anyio.Event()
        # A takeover may have been in progress when the stop began.
        await self._give_up_lease()

    async def release_lease(self):
        """Release the lease, so that another instance can lead at once."""
        self._stopping = True
        await self._give_up_lease()

    def _should_hand_over(self):
        return (
            self.capacity < self.record.min_capacity
            and self._clock() - self._term_started_at >= lease.MIN_TERM_S
        )

    async def _give_up_lease(self):
        if self.fence is None:
            return
        fence, self.fence = self.fence, None
        self.resigned_fence = fence
        self._last_response_at = float('-inf')
        released = dataclasses.replace(self.record, holder='')
        try:
            await self._write(released)
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            LOG.info(
                'duty not released', extra={'fence': fence, 'reason': str(exc)}
            )
        else:
            LOG.info(
                'duty released',
                extra={
                    'fence': fence,
                    'stopping': self._stopping,
                    'capacity': self.capacity,
                    'min_capacity': released.min_capacity,
                },
            )

    async def _renew(self):
        """Renew the lease; return whether the store confirmed it."""
        summary = self._cluster_summary()
        if not summary.knows_all_versions:
            self._add_earlier_versions(self.record)
        record = dataclasses.replace(
            self.record,
            renewals=self.record.renewals + 1,
            instances=summary.instances,
            min_capacity=lease.min_capacity(
                (self.capacity, summary.largest_capacity)
            ),
            software_versions=self._versions_to_record(summary),
            crashes=tuple(
                (crash.fingerprint, crash.server, crash.boot_id, crash.age_s)
                for crash in summary.crashes
            ),
        )
        sent_at = self._clock()
        if self._unconfirmed_since is None:
            self._unconfirmed_since = sent_at
        try:
            with anyio.fail_after(RENEWAL_TIMEOUT_S):
                await self._write(record)
        except stores.Conflict:
            await self._resolve_conflict(record)
        except (stores.StoreUnavailable, TimeoutError) as exc:
            reason = str(exc) or f'no answer in {RENEWAL_TIMEOUT_S} s'
            LOG.info(
                'duty not renewed',
                extra={'fence': record.fence, 'reason': reason},
            )
            if not self.is_leader:
                self.step_down(f'lease expired: {reason}')
        else:
            self._note_renewal(sent_at)
            LOG.info(
                'duty renewed',
                extra={
                    'fence': record.fence,
                    'took_ms': round((self._clock() - sent_at) * 1000),
                    **dataclasses.asdict(summary),
                    'crashes': len(summary.crashes),
                },
            )
            return True
        return False

    def _versions_to_record(self, summary):
        """Return the versions for the lease, None if some may be missing.

        Instances that start later rely on them. What earlier records state
        may not have been noted yet.
        """
        if self.earlier_versions is None and not summary.knows_all_versions:
            return None
        earlier = self.earlier_versions or ()
        return tuple(sorted({*summary.software_versions, *earlier}))

    def _add_earlier_versions(self, record):
        if record.software_versions is not None:
            earlier = self.earlier_versions or ()
            self.earlier_versions = tuple(
                sorted({*earlier, *record.software_versions})
            )

    def _note_renewal(self, sent_at):
        self._renewal_sent_at = sent_at
        self._unconfirmed_since = None

    async def _resolve_conflict(self, record):
        """Read the lease after a conflict; stop leading if it is lost.

        A conflict also arises if an earlier write took effect but its answer
        was lost; then this instance is still the leader, and its lease runs
        from the first of the writes that may have taken effect.
        """
        try:
            with anyio.fail_after(RENEWAL_TIMEOUT_S):
                has_read = await self._refresh_record()
        except TimeoutError:
            return
        if not has_read or self._is_of_earlier_era(record.fence):
            return
        found = self._stored
        if found is None:
            self.step_down('the lease object is gone')
        elif found.holder != record.holder or found.fence != record.fence:
            self.step_down(f'held by {found.holder}')
        elif found.renewals >= record.renewals:
            self._note_renewal(self._unconfirmed_since)

    async def _win_again(self):
        """Take over the lease in the new era of a restored store.

        While the lease of the earlier era would be valid, no other instance
        takes over: all of them wait for its duration after the restore.
        """
        if not self.is_leader:
            self.step_down('lease expired while the store was restored')
        elif await self._refresh_record():
            if self._is_outdated:
                await self._take_over(lease.TakeoverReason.RESTORED)
            else:
                self.step_down(f'held by {self._stored.holder}')

    async def _poll(self):
        silent_s = self._clock() - self._last_response_at
        is_known = self.record is not None and not self._is_outdated
        now = self._clock()
        if self._wants_record and now - self._record_read_at > (
            RECORD_INTERVAL_S
        ):
            is_known = False
        if is_known and not pace.is_leader_lost(
            silent_s, self._exchange_failed, self._exchange_interval_s
        ):
            return
        sent_at = self._clock()
        if not await self._refresh_record():
            return
        received_at = self._clock()
        self._observer.observe(self._stored, sent_at, received_at)
        reason = self._observer.takeover_reason(
            self._cfg.lease_s,
            self._cfg.instance,
            capacity=self.capacity,
            refused=self._connection_refused,
            resigned=self._is_resigned,
            outdated=self._is_outdated,
        )
        if reason is not None:
            await self._take_over(reason)

    async def _take_over(self, reason):
        previous = self._stored
        versions = previous.software_versions if previous else ()
        if self._is_outdated:
            # The lost leases may have stated more versions.
            versions = None
        record = lease.DutyRecord(
            holder=self._cfg.instance,
            host=self._cfg.peers.host,
            port=self._cfg.peers.port,
            fence=self._next_fence(),
            renewals=0,
            instances=previous.instances if previous else 0,
            min_capacity=previous.min_capacity if previous else 0.0,
            software_versions=versions,
            crashes=previous.crashes if previous else (),
        )
        sent_at = self._clock()
        try:
            await self._write(record)
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            LOG.info('duty not taken', extra={'reason': str(exc)})
            if isinstance(exc, stores.Conflict):
                # Another instance was faster. Reports go to it at once, not
                # only after the next poll.
                await self._refresh_record()
            return
        self.leads_first_term = previous is None and versions is not None
        self.previous_term_s = 0.0
        if previous is not None and not self._is_of_earlier_era(
            previous.fence
        ):
            self.previous_term_s = previous.renewals * lease.RENEW_INTERVAL_S
        self._note_renewal(sent_at)
        self._term_started_at = self._clock()
        self.fence = record.fence
        LOG.info(
            'duty taken',
            extra={
                'fence': record.fence,
                'previous': previous.holder if previous else None,
                'reason': reason.value,
                'unchanged_s': round(self._observer.unchanged_s, 2),
                'revision': self._revision,
            },
        )

    def _next_fence(self):
        """Return a fencing token that no leader has had, in any era."""
        stored = self._stored.fence if self._stored is not None else 0
        return max(
            stored + 1,
            self._highest_fence + 1,
            store_era.first_fence(self._era.current),
        )

    async def _write(self, record):
        value = dataclasses.asdict(record)
        if self._revision is None:
            obj = await self._client.create(
                self._kind, LEASE_OBJECT_NAME, value
            )
        else:
            obj = await self._client.replace(
                self._kind, LEASE_OBJECT_NAME, value, self._revision
            )
        self.record = self._stored = record
        self._revision = obj.revision
        self._highest_fence = max(record.fence, self._highest_fence)

    async def _refresh_record(self):
        """Read the lease; return whether the store answered."""
        try:
            obj = await self._client.get(self._kind, LEASE_OBJECT_NAME)
            found = None if obj is None else _decode(obj.value)
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            LOG.info('duty unknown', extra={'reason': str(exc)})
            return False
        self._wants_record, self._record_read_at = False, self._clock()
        self._stored = found
        self._revision = None if obj is None else obj.revision
        if self.record is None or not self._is_outdated:
            self.record = found
        if found is not None:
            self._highest_fence = max(found.fence, self._highest_fence)
            if not self._is_outdated:
                # Its writer may know versions of a time in which this instance
                # did not run, had no list yet or was cut off.
                self._add_earlier_versions(found)
        if not self._has_read:
            self._has_read = True
            if obj is not None:
                self.first_revision = obj.revision
                self.first_crashes = found.crashes
            elif not self._is_outdated:
                # No instance has run before.
                self.earlier_versions = ()
        return True


def _decode_versions(rows):
    if rows is None:
        return None
    return tuple((str(service), str(version)) for service, version in rows)


def _decode(value):
    try:
        return lease.DutyRecord(
            str(value['holder']),
            str(value['host']),
            int(value['port']),
            int(value['fence']),
            int(value['renewals']),
            int(value['instances']),
            # Earlier versions do not write these.
            float(value.get('min_capacity', 0.0)),
            _decode_versions(value.get('software_versions')),
            tuple(
                (str(fingerprint), str(server), str(boot_id), float(age_s))
                for fingerprint, server, boot_id, age_s in value.get(
                    'crashes', ()
                )
            ),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise stores.StoreUnavailable(
            f'expected a lease record, got {value!r}'
        ) from exc
