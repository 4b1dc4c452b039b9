"""Checks which backend servers this instance can connect to."""

import logging
import random

import anyio

from wagtailtide_gateway.control import cold_servers
from wagtailtide_gateway.http import outgoing

LOG = logging.getLogger(__name__)

# Interval in seconds at which the prober looks for something to check.
CHECK_INTERVAL_S = 0.25

# Interval in seconds at which unreachable servers are probed.
PROBE_INTERVAL_S = 0.5

# Time for a connection, in seconds: many round trips, and less than the second
# after which callers give up a connection.
PROBE_TIMEOUT_S = 0.5

# A probe that ends this many seconds after its timeout says nothing: the
# process was delayed, and the server may have accepted in time.
MAX_DELAY_S = 0.1

# Seconds between checks of all servers while they are silent.
SILENCE_CHECK_INTERVAL_S = 1.0

# Servers that are checked first to find whether any can be reached.
FIRST_PROBES = 3


class ServerProber:
    """Probes unreachable servers, and others to tell crashes from cut paths.

    Args:
        servers: ServerView of the instance.
        pool: ConnectionPool of the backend servers.
        wake: Function that makes waiting requests check again for a server.
        is_leader: Function that returns whether this instance leads, so that
            it may have to give orders at any time.
    """

    def __init__(self, servers, pool, wake, is_leader):
        self._servers = servers
        self._reachability = servers.reachability
        self._pool = pool
        self._wake = wake
        self._is_leader = is_leader
        self._round_ended = None
        self._silence_checked_at = float('-inf')
        self._probed_at = float('-inf')
        self._was_cut_off = False

    async def run(self):
        """Probe until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            if (
                self._reachability.is_silent(now, self._is_leader())
                and now - self._silence_checked_at >= SILENCE_CHECK_INTERVAL_S
            ):
                self._silence_checked_at = now
                await self.finds_path()
            if now - self._probed_at >= PROBE_INTERVAL_S:
                self._probed_at = now
                await self._probe_all(self._unreachable_states())
            self._log_change()

    def _unreachable_states(self):
        states = self._servers.states
        return [
            states[server_id]
            for server_id in self._reachability.unreachable
            if server_id in states and states[server_id].is_contactable
        ]

    async def finds_path(self):
        """Return whether a new connection to any server can be established.

        Calls at the same time share their probes. If no server is reachable,
        all of them are known to be unreachable afterwards.
        """
        started_at = anyio.current_time()
        while self._reachability.connected_at < started_at:
            if self._round_ended is not None:
                await self._round_ended.wait()
            elif self._servers.is_cut_off:
                break
            else:
                await self._run_round()
                break
        self._log_change()
        return self._reachability.connected_at >= started_at

    async def _run_round(self):
        """Probe a few servers, and the rest if none of these is reachable."""
        self._round_ended = ended = anyio.Event()
        try:
            states = [
                state
                for server_id, state in self._servers.states.items()
                if state.is_contactable
                and not self._reachability.is_unreachable(server_id)
            ]
            random.shuffle(states)
            if not await self._probe_all(states[:FIRST_PROBES]):
                await self._probe_all(states[FIRST_PROBES:])
        finally:
            self._round_ended = None
            ended.set()

    async def _probe_all(self, states):
        """Probe servers at the same time; return whether any is reachable."""
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tg:
            for state in states:
                tg.start_soon(self._probe, state)
        return self._reachability.connected_at >= started_at

    async def _probe(self, state):
        started_at = anyio.current_time()
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                await self._pool.open_idle(state.server.address)
        except (outgoing.ConnectionBroken, TimeoutError) as exc:
            elapsed_s = anyio.current_time() - started_at
            if elapsed_s <= PROBE_TIMEOUT_S + MAX_DELAY_S:
                reason = str(exc) or f'no connection in {PROBE_TIMEOUT_S} s'
                await self.record_failed(state, reason)
        else:
            self._record_connected(state)

    def _record_connected(self, state):
        server_id = state.server.id
        now = anyio.current_time()
        if self._reachability.record_connected(server_id, now):
            LOG.info('server reachable', extra={'server': server_id})
            cold_servers.record_suspected(state, 'reachable again', now)
            self._wake(state.server.service)

    async def record_failed(self, state, reason):
        """Record that a server accepted no connection.

        Args:
            state: ServerState of the server.
            reason: What happened, for the log.
        """
        server_id = state.server.id
        if server_id not in self._servers.states:
            return
        now = anyio.current_time()
        if self._reachability.record_failed(server_id, now):
            LOG.info(
                'server unreachable',
                extra={'server': server_id, 'reason': reason},
            )
            # They may be dead without a sign of it.
            await self._pool.close_idle_to(state.server.address)

    def _log_change(self):
        if self._servers.is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = self._servers.is_cut_off
        LOG.warning(
            'backend servers lost'
            if self._was_cut_off
            else 'backend servers regained',
            extra={
                'listed': len(self._servers.states),
                'unreachable': len(self._reachability.unreachable),
            },
        )
