"""Placement of models and adapters on the engines that this instance owns."""

import logging

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.invariants import checks
from wagtailtide_core.placement import orders
from wagtailtide_core.placement import plan as plans
from wagtailtide_core.placement import targets

from wagtailtide_server.control import listing as listings
from wagtailtide_server.control import load_permits
from wagtailtide_server.control import orders as sending
from wagtailtide_server.control import ownership as ownerships
from wagtailtide_server.control import placement_news
from wagtailtide_server.control import replica_guard
from wagtailtide_server.engines import engine as engines
from wagtailtide_server.engines import reports
from wagtailtide_server.storage import client

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


class Placement:
    """Plans and carries out the placement on own engines.

    Attributes:
        ownership: Ownership.
        engines: Engine by name, of those owned.
        news: PlacementNews.
        fleet: News of all engines.
        planner: Planner.
    """

    def __init__(self, plane, store, lease, invariants, rng, http=None):
        self.ownership = ownerships.Ownership(plane, store, lease, invariants)
        self.engines = {}
        self.news = placement_news.PlacementNews(plane)
        self.fleet = self.news.fleet
        self.planner = plans.Planner(
            self.fleet, targets.Targets(DEFAULT_SLOTS * TOKENS_PER_SLOT_S)
        )
        self.permits = load_permits.LoadPermits(plane, rng)
        self._plane = plane
        self._invariants = invariants
        self._http = http or sending.make_client()
        self._listing = listings.Listing(
            store, f'{plane.view.me.name}/{plane.boot}', invariants
        )
        self._guard = replica_guard.ReplicaGuard(
            self._listing, self.fleet, self._http
        )
        self._loans = {}
        self._removing = set()
        self._claim_at = 0.0
        self._store_failed_at = None
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
        self.news.take(declared, self.ownership)
        await self._list_changes()
        await self._carry_out()
        self._spread()

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
                    if self._should_repeat(engine, order):
                        await engine.order(
                            order.kind, order.model, order.size_bytes
                        )
        except client.StoreError as exc:
            self._note_store_failure(exc)
        except checks.InvariantError as exc:
            LOG.warning('order stopped', extra={'error': str(exc)})
        await self._end_loans(engine)

    def _should_repeat(self, engine, order):
        """Return whether an order without a response is sent again.

        Of a previous owner's orders only loads of a model that waits, whose
        room is kept for it here.
        """
        if order.fence == engine.own.fence:
            return True
        now = anyio.current_time()
        return (
            order.kind is orders.OrderKind.LOAD
            and self.planner.waiting_s(order.model, now) > 0
        )

    async def _end_loans(self, engine):
        coming = engine.describe(True, True).loading
        for (server, model), loan in tuple(self._loans.items()):
            ended = server == engine.name and model not in coming
            if ended or anyio.current_time() >= loan.until:
                del self._loans[server, model]
                await self.permits.give_back(loan)

    async def _list_changes(self):
        """List what became ready, and take off what is there no more."""
        for engine in tuple(self.engines.values()):
            if engine.report is None or not self.ownership.may_order(
                engine.own
            ):
                continue
            ready = engine.ready_models().keys()
            listed = {
                model
                for model, server in self._listing.listed
                if server == engine.name
            }
            removing = {m for s, m in self._removing if s == engine.name}
            changes = [
                *((self._listing.add, m) for m in ready - listed - removing),
                *((self._listing.withdraw, m) for m in listed - ready),
            ]
            for change, model in changes:
                # Each call may take its whole timeout in an outage.
                if not self._listing.loaded or self._is_store_paused():
                    return
                await self._try_store(change, model, engine.name)

    def _is_store_paused(self):
        failed_at = self._store_failed_at
        now = anyio.current_time()
        return failed_at is not None and now < failed_at + STORE_PAUSE_S

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
        may_unload = not self._is_store_paused()
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
            forecast = self.news.demand.forecast(key, live)
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
            others = await self._guard.take_off(unload, self.catalog_engines())
            if others is None:
                return
            self._invariants.check(
                'model_stays_reachable',
                unload.may_be_last or bool(others - {unload.server}),
                model=unload.key,
                server=unload.server,
            )
            await engine.order(
                orders.OrderKind.UNLOAD, unload.key, unload.size_bytes
            )
        finally:
            self._removing.discard((unload.server, unload.key))

    async def _try_store(self, action, *args):
        try:
            await action(*args)
        except client.StoreError as exc:
            self._note_store_failure(exc)

    def _note_store_failure(self, exc):
        LOG.info('store not written', extra={'error': str(exc)})
        if not isinstance(exc, client.Conflict):
            self._store_failed_at = anyio.current_time()

    def _spread(self):
        now = anyio.current_time()
        for name, own in self._describe_own().items():
            news = self.planner.describe(own, now)
            held = self.engines[name].own
            if self.ownership.may_order(held):
                self.news.put_server(held.fence, news)
        self.news.put_demand()
