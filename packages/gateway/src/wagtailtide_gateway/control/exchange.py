"""Exchanges with the leader: reports to it, updates from it."""

import dataclasses
import logging

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.decisions import pace
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import backend

LOG = logging.getLogger(__name__)

EXCHANGE_TARGET = b'/exchange'

RESPONSE_TIMEOUT_S = 0.8

# Pause after an exchange that failed, at least, and after any at most. Between
# these the pause is as long as the exchange took, so that fewer exchanges wait
# at a slow leader.
MIN_FAILURE_PAUSE_S = 0.1
MAX_PAUSE_S = 0.4

# Seconds without an update after which the loads and other data of the leader
# are dropped.
UPDATE_TTL_S = 3.0


def answer_report(leadership, cluster, body):
    """Return status and body of the response to another instance's report.

    Args:
        leadership: The Leadership of this instance.
        cluster: Its ClusterState.
        body: The report as received.
    """
    if not leadership.is_leader:
        return 503, messages.encode_refusal(leadership.resigned_fence)
    try:
        report = messages.decode_report(body)
    except fields.BadMessage as exc:
        LOG.warning('report refused', extra={'reason': str(exc)})
        return 400, str(exc).encode()
    response = messages.encode_update(cluster.handle_report(report))
    cluster.record_response(len(response))
    return 200, response


class Exchange:
    """Sends reports to the leader and applies its updates.

    Attributes:
        instances: Number of instances that share rates and budgets.
        loading_s: Seconds until each loading model is ready, from the last
            full update, by service and model.
        refill_waits_s: Seconds until the missing amount can be drawn, by
            organisation, from the last update.
    """

    def __init__(
        self, leadership, cluster, shared_state, cfg, pool, clock, is_stopping
    ):
        self._leadership = leadership
        self._cluster = cluster
        self._shared_state = shared_state
        self._cfg = cfg
        self._pool = pool
        self._clock = clock
        self._is_stopping = is_stopping
        self._requested = anyio.Event()
        self._rate = pace.ExchangeRate()
        self._residency_number = 0
        self._entry_number = 0
        self._origin_number = 0
        self._own_list_count = 0
        self._updated_list_count = 0
        self._new_state_count = 0
        self._next_full_at = 0.0
        self._fence = 0
        # Whether this instance has the data and numbers of the leader.
        self._in_step = False
        self._last_draw_at = None
        self._completed = anyio.Event()
        self._last_update_at = float('-inf')
        self._leader_unreachable = False
        self._hears_leader = False
        self.instances = 0
        self.loading_s = {}
        self.refill_waits_s = {}

    @property
    def has_recent_update(self):
        """Whether the last update of the leader is recent."""
        return anyio.current_time() - self._last_update_at < UPDATE_TTL_S

    @property
    def is_leader(self):
        """Whether this instance is the leader."""
        return self._leadership.is_leader

    @property
    def hears_leader(self):
        """Whether the leader answered the last exchange."""
        return self._hears_leader

    @property
    def silent_s(self):
        """Seconds since the last update of a leader."""
        return anyio.current_time() - self._last_update_at

    @property
    def lease_s(self):
        """Duration of the leader's lease in seconds, 0.0 if it was given up.

        Another instance takes a lease that was given up over at once.
        """
        return 0.0 if self._leadership.is_given_up else self._cfg.lease_s

    @property
    def leaderless_instances(self):
        """Number of instances that share limits while no leader answers.

        None while the leader answers.
        """
        if self._hears_leader:
            return None
        return self.instances or self._recorded_instances()

    @property
    def known_instances(self):
        """Number of instances that share budgets, 0 if it is not known.

        The lease may state more than a leader that has not heard of all.
        """
        record = self._leadership.record
        return max(self.instances, record.instances if record else 0)

    @property
    def interval_s(self):
        """Seconds between two full exchanges."""
        return pace.exchange_interval_s(self.instances)

    def start_now(self):
        """Start an exchange now instead of at the next interval."""
        self._requested.set()

    async def wait_for_exchange(self, timeout_s):
        """Start an exchange and wait until it ends.

        Args:
            timeout_s: Longest wait in seconds.
        """
        completed = self._completed
        self.start_now()
        with anyio.move_on_after(timeout_s):
            await completed.wait()

    async def run(self):
        """Exchange reports and updates until cancelled."""
        while True:
            started_at = anyio.current_time()
            succeeded = await self._exchange()
            now = anyio.current_time()
            self._rate.record(self.instances, started_at)
            pause_s = max(
                now - started_at, self._rate.pause_s(self.instances, now)
            )
            if not succeeded:
                pause_s = max(pause_s, MIN_FAILURE_PAUSE_S)
            await anyio.sleep(min(pause_s, MAX_PAUSE_S))
            wait_s = max(0.0, self._next_full_at - anyio.current_time())
            with anyio.move_on_after(wait_s):
                await self._requested.wait()
                # Requests that arrive within this time share one exchange.
                await anyio.sleep(0.002)
            self._requested = anyio.Event()

    async def _exchange(self):
        """Exchange once; return whether the leader answered."""
        now = anyio.current_time()
        self._note_first_record(now)
        self._drop_old_numbers()
        urgent = self._in_step and now < self._next_full_at
        if not urgent:
            self._next_full_at = now + self.interval_s
        report = self._make_report(now, urgent)
        sent_at = self._clock()
        if self._leadership.fence is not None:
            update = self._cluster.handle_report(report)
        else:
            update = await self._send_report(report)
        self._hears_leader = update is not None
        if update is None:
            self._shared_state.accrue_shares(self._leadership.record)
            self._shared_state.restore_report(report)
            if not self.has_recent_update:
                self._discard_old_residencies()
                self._start_term(self._fence)
                self.loading_s = {}
                self.refill_waits_s = {}
        else:
            self._apply_update(update, sent_at, now, urgent)
        completed, self._completed = self._completed, anyio.Event()
        completed.set()
        return update is not None

    def _note_first_record(self, now):
        """Pass on what the lease told of the time before the start."""
        if self._leadership.first_crashes:
            self._shared_state.learn_crashes(
                messages.CrashReport(*crash)
                for crash in self._leadership.first_crashes
            )
            self._leadership.first_crashes = ()
        servers = self._shared_state.servers
        versions = self._leadership.earlier_versions
        if versions is not None:
            self._leadership.earlier_versions = None
            servers.note_earlier_versions(versions, now)
        elif servers.has_list and not servers.knows_all_versions(now):
            self._leadership.request_record()

    def _discard_old_residencies(self):
        """Route by an own list if there is one since the last update.

        Without one, the residencies of the last leader are the newest.
        """
        servers = self._shared_state.servers
        if servers.own_list_count != self._updated_list_count:
            servers.discard_leader_residencies()

    def _drop_old_numbers(self):
        """Drop numbers that do not tell what this instance has any more."""
        record = self._leadership.record
        fence = self._leadership.fence or (record.fence if record else 0)
        if fence > self._fence:
            self._start_term(fence)
        own_list_count = self._shared_state.servers.own_list_count
        if own_list_count != self._own_list_count:
            # The list may differ from the one that the leader's numbers are
            # about.
            self._own_list_count = own_list_count
            self._entry_number = 0
        new_state_count = self._shared_state.servers.new_state_count
        if new_state_count != self._new_state_count:
            # Residencies of servers that were unknown were not applied.
            self._new_state_count = new_state_count
            self._residency_number = 0

    def _start_term(self, fence):
        """Report next what this instance has, instead of numbers."""
        self._fence = fence
        self._in_step = False
        self._residency_number = self._entry_number = self._origin_number = 0
        self._shared_state.stream_origins.report_again(anyio.current_time())
        self._shared_state.report_crashes_again()

    def _recorded_instances(self):
        record = self._leadership.record
        return max(1, record.instances if record else 1)

    def _make_report(self, now, urgent):
        elapsed_s = now - (
            self._last_draw_at or now - pace.EXCHANGE_INTERVAL_S
        )
        self._last_draw_at = now
        report = self._shared_state.make_report(
            self._cfg.instance,
            self._leadership.capacity,
            (self._residency_number, self._entry_number, self._origin_number),
            elapsed_s,
            urgent,
            self.instances or self._recorded_instances(),
            self._forwarding_address(),
        )
        section_set = self._shared_state.sections
        return dataclasses.replace(
            report,
            sections=section_set.make_urgent_report()
            if urgent
            else section_set.make_report(),
        )

    def _forwarding_address(self):
        """Return the address for requests to forward, None if stopping."""
        return None if self._is_stopping() else self._cfg.peers

    async def _send_report(self, report):
        record = self._leadership.record
        if record is None or not record.holder:
            return None
        address = backend.Address(record.host, record.port)
        conn = None
        try:
            with anyio.fail_after(RESPONSE_TIMEOUT_S):
                conn = await self._pool.acquire(address)
                head = await conn.request(
                    b'POST',
                    EXCHANGE_TARGET,
                    [(b'Host', str(address).encode())],
                    messages.encode_report(report),
                )
                body = await conn.read_body(fields.MAX_MESSAGE_BYTES)
        except (outgoing.ConnectionBroken, TimeoutError) as exc:
            connection_refused = (
                isinstance(exc, outgoing.ConnectionBroken)
                and exc.progress is fate.Progress.CONNECTING
            )
            self._note_failure(record, exc, connection_refused)
            return None
        else:
            await self._pool.release(conn)
            conn = None
        finally:
            if conn is not None:
                await conn.close()
        return self._decode_response(head, body, record)

    def _decode_response(self, head, body, record):
        try:
            if head.status != 200:
                self._note_failure(record, f'status {head.status}', False)
                self._leadership.note_refusal(messages.decode_refusal(body))
                return None
            update = messages.decode_update(body)
        except fields.BadMessage as exc:
            LOG.warning(
                'news refused',
                extra={'holder': record.holder, 'reason': str(exc)},
            )
            return None
        self._leadership.note_response(update.fence, update.instances)
        self._leader_unreachable = False
        return update

    def _note_failure(self, record, reason, connection_refused):
        if not self._leader_unreachable:
            LOG.info(
                'duty holder unheard',
                extra={
                    'holder': record.holder,
                    'fence': record.fence,
                    'reason': str(reason),
                },
            )
        self._leader_unreachable = True
        self._leadership.note_failure(connection_refused)

    def _apply_update(self, update, sent_at, now, urgent):
        self._last_update_at = anyio.current_time()
        self.instances = update.instances
        self._shared_state.apply_limits(update, not urgent, now)
        if update.fence != self._fence:
            # The report was made for the numbers of another term.
            self._start_term(update.fence)
            self._shared_state.apply_update(update, sent_at)
            return
        self._updated_list_count = self._shared_state.servers.own_list_count
        if not urgent and self._leadership.fence is None:
            self._shared_state.apply_server_entries(update, now)
            self._entry_number = update.entry_number
        self._residency_number = update.residency_number
        self.refill_waits_s = update.refill_waits_s
        self._shared_state.apply_update(update, sent_at)
        if urgent:
            self._shared_state.sections.apply_urgent(update.sections, now)
            return
        self._in_step = True
        self._origin_number = update.origin_number
        self.loading_s = update.loading_s
        self._shared_state.peers.apply(update.peers)
        self._shared_state.sections.apply(update.sections, now)
        if self._leadership.fence is not None:
            self._shared_state.apply_loads(update)
