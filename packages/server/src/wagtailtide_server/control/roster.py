"""Maintain the rate slots that this instance holds in the roster."""

import logging

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.leases import observer
from wagtailtide_core.leases import roster as rosters
from wagtailtide_core.leases import session as sessions

from wagtailtide_server.control import session as session_tasks
from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import client

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 5.0
READ_INTERVAL_S = 60.0


class RosterKeeper:
    """Reads the roster, and writes it when this instance has a change.

    Attributes:
        roster: Roster as last read or written.
        own_holder: Name of this instance as holder in the roster.
        calls: Number of store calls made.
    """

    def __init__(self, plane, store, session, limiter, rng, refresh=None):
        self.roster = rosters.Roster()
        self.own_holder = rosters.holder_name(session.name, session.boot)
        self.calls = 0
        self._plane, self._store, self._session = plane, store, session
        self._limiter, self._rng = limiter, rng
        self._observer = observer.SessionObserver()
        self._usable = frozenset()
        self._version, self._write_unresolved = None, False
        self._refresh = refresh or self.apply
        self._claimed_epoch, self._change_due = 0, True
        self._leaving, self._live_seen, self._read_at = False, None, None

    async def run(self):
        """Apply the slots and call `tick` when due, until `leave`."""
        while not self._leaving:
            now = anyio.current_time()
            self._refresh(now)
            if self._is_due(now):
                await self.tick()
            await anyio.sleep(TICK_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    async def tick(self):
        """Read the roster and make this instance's changes."""
        if not self._lease_valid() or self._leaving:
            return
        live = frozenset(self._plane.view.live())
        try:
            await self._read()
            lapsed = await self._find_lapsed(live)
            change = rosters.plan(self.roster, self.own_holder, live, lapsed)
            needs_claim = self._needs_claim()
            self._change_due = needs_claim or not change.is_empty
            if self._change_due:
                await self._write(change)
            elif self._holds_too_little(live):
                self._change_due = True
            self._live_seen = live
        except client.StoreError as exc:
            # After a failed call the next read waits for its interval, so
            # that in an outage not every instance reads at every tick. A
            # write that conflicted with another one is repeated at the next
            # tick.
            self._change_due = self._change_due or isinstance(
                exc, client.Conflict
            )
            self._read_at, self._live_seen = anyio.current_time(), live
            LOG.info('roster not updated', extra={'error': str(exc)})
        self.apply(anyio.current_time())

    def apply(self, now):
        """Set the slots that the limiter may use, and until when."""
        if self._session.rates.epoch != self._claimed_epoch:
            self._usable = frozenset()
        until = self._session.rates.valid_until
        self._limiter.hold(self._usable, until, now)

    async def leave(self):
        """Stop using all slots, then free them."""
        self._leaving = True
        self._usable = frozenset()
        self.apply(anyio.current_time())
        for _ in range(3):
            try:
                await self._read()
                own = self.roster.slots_of(self.own_holder)
                if not own and not self._write_unresolved:
                    return
                await self._write(rosters.Plan(give_up=own))
            except client.StoreError as exc:
                LOG.warning('slots not freed', extra={'error': str(exc)})

    def _lease_valid(self):
        return self._session.rates.is_valid(anyio.current_time())

    def _is_due(self, now):
        if self._change_due or self._read_at is None:
            return True
        if frozenset(self._plane.view.live()) != self._live_seen:
            return True
        return now - self._read_at >= READ_INTERVAL_S

    def _needs_claim(self):
        if self._write_unresolved:
            return True
        epoch_differs = self._claimed_epoch != self._session.rates.epoch
        return epoch_differs and bool(self.roster.slots_of(self.own_holder))

    def _holds_too_little(self, live):
        """Return whether this instance holds less than an even share.

        Other live instances then hold slots that they will give up.
        """
        counts = {
            holder: count
            for holder, count in self.roster.counts().items()
            if rosters.session_name(holder) in live
        }
        own = counts.get(self.own_holder, 0)
        return own < sum(counts.values()) // max(1, len(live))

    async def _read(self):
        self.calls += 1
        current = await self._store.get(
            rosters.KEY, activity=budgets.Activity.ROSTER
        )
        self._read_at = anyio.current_time()
        if current is None:
            return
        if self._version is not None and current.version < self._version:
            raise client.Unavailable('the store returned an older roster')
        if current.version != self._version:
            # A write of unknown outcome is conditional on the earlier
            # version, so it has taken effect or never will.
            self._write_unresolved = False
        self._version = current.version
        self.roster = rosters.Roster.decode(current.value)
        if not self._write_unresolved and not self._leaving:
            self._usable = self.roster.slots_of(self.own_holder)

    async def _write(self, change):
        """Write a change; stop using slots given up before it is sent."""
        self._usable = self._usable - change.give_up
        self.apply(anyio.current_time())
        epoch = self._session.rates.epoch
        changed = change.apply(self.roster, self.own_holder)
        self.calls += 1
        try:
            version = await self._store.put(
                rosters.KEY,
                changed.encode(),
                self._version,
                activity=budgets.Activity.ROSTER,
            )
        except client.WriteUnknown:
            self._write_unresolved = True
            raise
        self._version, self.roster = version, changed
        self._write_unresolved = False
        if not self._leaving:
            self._claimed_epoch = epoch
            self._usable = changed.slots_of(self.own_holder)

    async def _find_lapsed(self, live):
        """Observe sessions that are not live; return the lapsed holders."""
        lapsed, observed = set(), set()
        for holder in self.roster.counts():
            name = rosters.session_name(holder)
            if name in live:
                continue
            if self._session.name not in rosters.observers(holder, live):
                continue
            observed.add(name)
            horizon_s = await self._observe(name)
            if self._observer.has_lapsed(name, horizon_s):
                lapsed.add(holder)
        self._observer.retain(observed)
        return lapsed

    async def _observe(self, name):
        sent_at = anyio.current_time()
        self.calls += 1
        current = await self._store.get(
            session_tasks.KEY_PREFIX + name, activity=budgets.Activity.ROSTER
        )
        version = current.version if current else None
        self._observer.observe(name, version, sent_at, anyio.current_time())
        if current is None:
            documents = self._plane.config.catalog.documents.values()
            limits = [schema.Limits(), *(d.limits for d in documents)]
            return max(x.rate_horizon_s for x in limits)
        return sessions.SessionRecord.decode(current.value).rate_horizon_s
