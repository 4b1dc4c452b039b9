"""Placement of models and adapters on the engines that this instance owns."""

import dataclasses
import itertools
import logging

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.gossip import records
from wagtailtide_core.invariants import checks
from wagtailtide_core.placement import demand as demands
from wagtailtide_core.placement import fleet as fleets
from wagtailtide_core.placement import orders
from wagtailtide_core.placement import plan as plans
from wagtailtide_core.placement import targets

from wagtailtide_server.control import listing as listings
from wagtailtide_server.control import load_permits
from wagtailtide_server.control import orders as sending
from wagtailtide_server.control import ownership as ownerships
from wagtailtide_server.engines import engine as engines
from wagtailtide_server.engines import reports
from wagtailtide_server.platform import client

LOG = logging.getLogger(__name__)

TICK_S = 2.0
# Without this long pause each instance would read the objects of the servers
# that it waits for with each tick.
CLAIM_S = 5.0
# Unloads are not planned for this time after the store did not respond.
STORE_PAUSE_S = 10.0
# A token each this often in an engine's slot, as in the interactive target.
TOKENS_PER_SLOT_S = 20.0
DEFAULT_SLOTS = 8

_GUARDED = (client.StoreError, checks.InvariantError)


@dataclasses.dataclass(frozen=True)
class Peering:
    """What a server's record tells besides its news."""

    owner: str
    news: fleets.ServerNews


class Placement:
    """Plans and carries out the placement on own engines.

    Attributes:
        ownership: Ownership.
        engines: Engine by name, of those owned.
        fleet: News of all engines.
        planner: Planner.
        meter: Demand seen by this instance.
        owners: Owner of each engine, from its news.
    """

    def __init__(self, plane, store, lease, invariants, rng, http=None):
        self.ownership = ownerships.Ownership(plane, store, lease, invariants)
        self.engines = {}
        self.fleet = fleets.Fleet()
        self.planner = plans.Planner(
            self.fleet, targets.Targets(DEFAULT_SLOTS * TOKENS_PER_SLOT_S)
        )
        self.meter = demands.Meter()
        self.demand = demands.FleetDemand()
        self.owners = {}
        self.permits = load_permits.LoadPermits(plane, rng)
        self._plane = plane
        self._invariants = invariants
        self._http = http or sending.make_client()
        self._listing = listings.Listing(
            store, f'{plane.view.me.name}/{plane.boot}'
        )
        self._loans = {}
        self._removing = set()
        self._claim_at = 0.0
        self._spread_at = 0.0
        self._store_failed_at = None
        self._numbers = itertools.count(1)
        self._stamps = {}
        self._seen = {}
        self._wake = anyio.Event()
        self._leaving = False

    async def run(self):
        """Plan every two seconds, and when asked to, until cancelled."""
        while not self._leaving:
            try:
                await self.tick()
            except* _GUARDED as group:
                LOG.warning('plan stopped', extra={'error': repr(group)})
            with anyio.move_on_after(TICK_S):
                await self._wake.wait()
            self._wake = anyio.Event()

    def wake(self):
        """Plan at once."""
        self._wake.set()

    async def leave(self):
        """Claim and order no more, and give up all engines."""
        self._leaving = True
        await self.release_all()

    async def release_all(self):
        """Give up all engines, before a planned stop."""
        await self.ownership.release_all()
        self.engines.clear()

    def catalog_engines(self):
        """Return the declared engines by name."""
        servers = self._plane.config.catalog.backend_servers
        return {
            name: declared
            for name, declared in servers.items()
            if declared.kind is schema.ServerKind.ENGINE
        }

    async def tick(self):
        """Bring own engines up to date, plan, and carry the plan out."""
        now = anyio.current_time()
        declared = self.catalog_engines()
        if now >= self._claim_at:
            self._claim_at = now + CLAIM_S
            if not self._leaving:
                await self.ownership.follow(declared)
        await self._follow_owned()
        async with anyio.create_task_group() as group:
            for engine in self.engines.values():
                group.start_soon(self._refresh, engine)
        self._take_news(declared)
        await self._list_changes()
        await self._carry_out()
        self._spread(declared)

    async def _follow_owned(self):
        owned = self.ownership.owned
        for name, own in owned.items():
            known = self.engines.get(name)
            if known is None or known.own is not own:
                self.engines[name] = engines.Engine(
                    own, self.ownership, self._http, self._invariants
                )
                self._listing.loaded = False
        for name in self.engines.keys() - owned.keys():
            del self.engines[name]
        if self.engines and not self._listing.loaded:
            await self._try_store(self._listing.read_all)

    async def _refresh(self, engine):
        now = anyio.current_time()
        try:
            failed = await engine.read_report()
        except reports.NoReport as exc:
            LOG.info('report not read', extra={'error': str(exc)})
            return
        for order in failed:
            if order.kind is orders.OrderKind.LOAD:
                self.planner.failures.record_failure(
                    engine.name, order.model, now
                )
        for model in engine.ready_since:
            self.planner.failures.record_success(engine.name, model)
        try:
            if self.ownership.may_order(engine.own):
                await engine.maintain()
                await engine.prune_record()
                for order in engine.unanswered():
                    await engine.order(
                        order.kind, order.model, order.size_bytes
                    )
        except client.StoreError as exc:
            self._note_store_failure(exc)
        except checks.InvariantError as exc:
            LOG.warning('order stopped', extra={'error': str(exc)})
        await self._end_loans(engine)

    async def _end_loans(self, engine):
        coming = engine.describe(True, True).loading
        for (server, model), loan in tuple(self._loans.items()):
            ended = server == engine.name and model not in coming
            if ended or anyio.current_time() >= loan.until:
                del self._loans[server, model]
                await self.permits.give_back(loan)

    async def _list_changes(self):
        """List what became ready, and take off what is there no more."""
        if not self._listing.loaded:
            return
        for engine in tuple(self.engines.values()):
            if engine.report is None or not self.ownership.may_order(
                engine.own
            ):
                continue
            ready = {m for m in engine.ready_since if ':' not in m}
            listed = {
                model
                for model, server in self._listing.listed
                if server == engine.name
            }
            for model in ready - listed:
                if (engine.name, model) not in self._removing:
                    await self._try_store(
                        self._listing.add, model, engine.name
                    )
            for model in listed - ready:
                await self._try_store(
                    self._listing.withdraw, model, engine.name
                )

    async def _carry_out(self):
        now = anyio.current_time()
        own = self._describe_own()
        needs = self._needs()
        plan = self.planner.plan(needs, own, now)
        async with anyio.create_task_group() as group:
            for unload in plan.unloads:
                group.start_soon(self._guarded, self._unload, unload)
            for load in plan.loads:
                group.start_soon(self._guarded, self._load, load)

    async def _guarded(self, action, decided):
        engine = self.engines.get(decided.server)
        if engine is None or not self.ownership.may_order(engine.own):
            return
        try:
            await action(engine, decided)
        except client.StoreError as exc:
            self._note_store_failure(exc)
        except checks.InvariantError as exc:
            LOG.warning('order stopped', extra={'error': str(exc)})

    def _describe_own(self):
        now = anyio.current_time()
        failed_at = self._store_failed_at
        may_unload = failed_at is None or now >= failed_at + STORE_PAUSE_S
        described = {}
        for name, engine in self.engines.items():
            may_order = self.ownership.may_order(engine.own)
            described[name] = engine.describe(
                may_order, may_order and may_unload
            )
        return described

    def _needs(self):
        live = len(self._plane.view.live())
        needs = {}
        for model in self._plane.config.catalog.models.values():
            key = targets.key_of(model)
            forecast = self.demand.forecast(key, live)
            needs[key] = targets.Need(model, forecast)
        return needs

    async def _load(self, engine, load):
        if not engine.models.fits(load.key, load.size_bytes):
            return
        loan = await self.permits.borrow()
        if loan is None:
            return
        try:
            answer = await engine.order(
                orders.OrderKind.LOAD, load.key, load.size_bytes
            )
        except _GUARDED:
            await self.permits.give_back(loan)
            raise
        if answer.fate in (sending.Fate.REFUSED, sending.Fate.NOT_SENT):
            self.planner.failures.record_failure(
                load.server, load.key, anyio.current_time()
            )
            await self.permits.give_back(loan)
            return
        self._loans[load.server, load.key] = loan

    async def _unload(self, engine, unload):
        self._removing.add((unload.server, unload.key))
        try:
            if await self._may_unload(unload):
                await engine.order(
                    orders.OrderKind.UNLOAD, unload.key, unload.size_bytes
                )
        finally:
            self._removing.discard((unload.server, unload.key))

    async def _may_unload(self, unload):
        """Take the server off the model's list if another replica is left."""
        declared = self.catalog_engines()
        others = await self._listing.remove(
            unload.key,
            unload.server,
            frozenset(
                name
                for name in self.fleet.names()
                if not self.fleet.get(name).is_open
            ),
            lambda shard: _gone(shard, declared),
            unload.may_be_last,
        )
        if others is None:
            LOG.info(
                'last listed replica kept',
                extra={'model': unload.key, 'backend_server': unload.server},
            )
            return False
        if unload.may_be_last:
            return True
        # A server may have crashed since it was listed.
        for name in sorted(others):
            if name in declared and await self._is_ready(
                declared[name], unload.key
            ):
                return True
        await self._listing.add(unload.key, unload.server)
        return False

    async def _is_ready(self, declared, model):
        try:
            report = await reports.fetch(self._http, declared)
        except reports.NoReport:
            return False
        return not report.draining and any(
            r.model == model and r.state is orders.ResidencyState.READY
            for r in report.memory.residencies
        )

    async def _try_store(self, action, *args):
        try:
            await action(*args)
        except client.StoreError as exc:
            self._note_store_failure(exc)

    def _note_store_failure(self, exc):
        LOG.info('store not written', extra={'error': str(exc)})
        if not isinstance(exc, client.Conflict):
            self._store_failed_at = anyio.current_time()

    def _take_news(self, declared):
        now = anyio.current_time()
        for record in self._plane.table.of_kind(records.Kind.SERVER, now):
            if self._seen.get(record.id) == record.stamp:
                continue
            own = self.ownership.owned.get(record.id)
            if own is not None:
                if record.stamp[0] > own.fence:
                    self.ownership.lost(record.id)
                continue
            if record.id in declared:
                self._apply_news(record, declared[record.id])
        for name in self.fleet.names() - declared.keys():
            self.fleet.drop(name)
        for record in self._plane.table.of_kind(records.Kind.DEMAND, now):
            if self._seen.get(('demand', record.id)) != record.stamp:
                self._seen['demand', record.id] = record.stamp
                self.demand.apply(record.id, record.value, record.age_s, now)
        self.demand.drop_expired(now)

    def _apply_news(self, record, declared):
        try:
            owner, *news = record.value
            self.fleet.put(fleets.from_value(news, declared))
        except (TypeError, ValueError) as exc:
            LOG.info('news not readable', extra={'error': str(exc)})
            return
        self.owners[record.id] = str(owner)
        self._seen[record.id] = record.stamp

    def _spread(self, declared):
        now = anyio.current_time()
        me = self._plane.view.me.name
        for name, own in self._describe_own().items():
            news = self.planner.describe(own, now)
            if not self.ownership.may_order(self.engines[name].own):
                continue
            self.owners[name] = me
            fence = self.engines[name].own.fence
            value = [me, *news.to_value()]
            known = self._stamps.get(name)
            if known is None or known[0] != (fence, value):
                self._stamps[name] = ((fence, value), now)
                stamp = (fence, next(self._numbers))
                self._plane.table.put(
                    records.Kind.SERVER, name, stamp, value, now
                )
        live = self._plane.view.live()
        if now >= self._spread_at and demands.is_reporter(me, live):
            self._spread_at = now + demands.SPREAD_EVERY_S
            self._plane.table.put(
                records.Kind.DEMAND,
                me,
                (self._plane.boot, next(self._numbers)),
                self.meter.value(now),
                now,
            )
        for name in self._stamps.keys() - declared.keys():
            del self._stamps[name]


def _gone(shard, declared):
    listed = frozenset().union(*shard.replicas.values())
    return listed - declared.keys()
