"""Placement of models on the engines that this instance owns."""

import logging

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.invariants import checks
from wagtailtide_core.placement import orders
from wagtailtide_core.placement import plan as plans
from wagtailtide_core.placement import targets

from wagtailtide_server.control import load_permits
from wagtailtide_server.control import order_client
from wagtailtide_server.control import ownership as ownerships
from wagtailtide_server.control import placement_gossip
from wagtailtide_server.control import replica_guard
from wagtailtide_server.control import replica_list_store as list_stores
from wagtailtide_server.engines import engine as engines
from wagtailtide_server.engines import reports
from wagtailtide_server.storage import client

LOG = logging.getLogger(__name__)

PLAN_INTERVAL_S = 2.0
# Longer than the interval of plans, because each pass reads the store objects
# of the servers that this instance waits to claim.
CLAIM_INTERVAL_S = 5.0
# Time after a failed store call in which no unloads are planned and no replica
# lists are changed.
STORE_PAUSE_S = 10.0
# One token every 50 ms, as in the interactive target.
TOKENS_PER_S_PER_SLOT = 20.0
DEFAULT_SLOTS = 8

_ORDER_ERRORS = (client.StoreError, checks.InvariantError)


class Placement:
    """Plans and carries out the placement on the owned engines.

    Attributes:
        ownership: Ownership.
        engines: Engine by name, of those owned.
        gossip: PlacementGossip.
        fleet: Fleet, the last known state of all engines.
        planner: Planner.
        permits: LoadPermits.
    """

    def __init__(self, plane, store, lease, invariants, rng, http=None):
        self.ownership = ownerships.Ownership(plane, store, lease, invariants)
        self.engines = {}
        self.gossip = placement_gossip.PlacementGossip(plane)
        self.fleet = self.gossip.fleet
        self.planner = plans.Planner(
            self.fleet, targets.Targets(DEFAULT_SLOTS * TOKENS_PER_S_PER_SLOT)
        )
        self.permits = load_permits.LoadPermits(plane, rng)
        self._plane = plane
        self._invariants = invariants
        self._http = http or order_client.make_client()
        self._replica_lists = list_stores.ReplicaListStore(
            store, f'{plane.view.local_member.name}/{plane.boot}', invariants
        )
        self._guard = replica_guard.ReplicaGuard(
            self._replica_lists, self.fleet, self._http
        )
        self._loans = {}
        self._unloading = set()
        self._next_claim_at = 0.0
        self._store_failed_at = None
        self._wake = anyio.Event()
        self._leaving = False

    async def run(self):
        """Plan periodically, and after `wake`, until `leave` or cancelled."""
        while not self._leaving:
            try:
                await self.tick()
            except* _ORDER_ERRORS as group:
                LOG.warning('planning failed', extra={'error': repr(group)})
            with anyio.move_on_after(PLAN_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()

    def wake(self):
        """Have `run` plan without waiting for the next interval."""
        self._wake.set()

    async def leave(self):
        """Stop claiming engines and sending orders; release all engines."""
        self._leaving = True
        await self.release_all()

    async def release_all(self):
        """Release all engines before a planned stop."""
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
        """Claim engines, read their reports, plan, and carry out the plan."""
        now = anyio.current_time()
        declared = self.catalog_engines()
        if now >= self._next_claim_at:
            self._next_claim_at = now + CLAIM_INTERVAL_S
            if not self._leaving:
                await self.ownership.reconcile(declared)
        await self._update_engines()
        async with anyio.create_task_group() as group:
            for engine in self.engines.values():
                group.start_soon(self._refresh, engine)
        self.gossip.apply_records(declared, self.ownership)
        await self._update_replica_lists()
        await self._carry_out()
        self._publish()

    async def _update_engines(self):
        owned_servers = self.ownership.owned
        for name, owned in owned_servers.items():
            known = self.engines.get(name)
            if known is None or known.owned is not owned:
                self.engines[name] = engines.Engine(
                    owned, self.ownership, self._http, self._invariants
                )
                self._replica_lists.loaded = False
        for name in self.engines.keys() - owned_servers.keys():
            del self.engines[name]
        if self.engines and not self._replica_lists.loaded:
            await self._try_store(self._replica_lists.read_all)

    async def _refresh(self, engine):
        now = anyio.current_time()
        try:
            failed = await engine.read_report()
        except reports.ReportUnavailable as exc:
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
            if self.ownership.may_order(engine.owned):
                await engine.establish_fence()
                await engine.prune_record()
                for order in engine.unanswered_orders():
                    if self._should_repeat(engine, order):
                        await engine.send_order(
                            order.kind, order.model, order.size_bytes
                        )
        except client.StoreError as exc:
            self._record_store_failure(exc)
        except checks.InvariantError as exc:
            LOG.warning('order stopped', extra={'error': str(exc)})
        await self._return_loans(engine)

    def _should_repeat(self, engine, order):
        """Return whether an order without a response is sent again.

        Of the orders of a previous owner, only loads are repeated, and only if
        the model still waits for a replica; the memory account of the engine
        still counts them.
        """
        if order.fence == engine.owned.fence:
            return True
        now = anyio.current_time()
        return (
            order.kind is orders.OrderKind.LOAD
            and self.planner.waiting_s(order.model, now) > 0
        )

    async def _return_loans(self, engine):
        loading = engine.describe(True, True).loading
        for (server, model), loan in tuple(self._loans.items()):
            ended = server == engine.name and model not in loading
            if ended or anyio.current_time() >= loan.until:
                del self._loans[server, model]
                await self.permits.give_back(loan)

    async def _update_replica_lists(self):
        """Add models that became ready, and withdraw those no longer ready."""
        for engine in tuple(self.engines.values()):
            if engine.report is None or not self.ownership.may_order(
                engine.owned
            ):
                continue
            ready = engine.ready_models().keys()
            listed = {
                model
                for model, server in self._replica_lists.listed
                if server == engine.name
            }
            unloading = {m for s, m in self._unloading if s == engine.name}
            changes = [
                *(
                    (self._replica_lists.add, m)
                    for m in ready - listed - unloading
                ),
                *((self._replica_lists.withdraw, m) for m in listed - ready),
            ]
            for change, model in changes:
                # In an outage each call may take its whole timeout.
                if not self._replica_lists.loaded or self._is_store_paused():
                    return
                await self._try_store(change, model, engine.name)

    def _is_store_paused(self):
        failed_at = self._store_failed_at
        now = anyio.current_time()
        return failed_at is not None and now < failed_at + STORE_PAUSE_S

    async def _carry_out(self):
        now = anyio.current_time()
        owned_servers = self._describe_owned()
        needs = self._needs()
        plan = self.planner.plan(needs, owned_servers, now)
        async with anyio.create_task_group() as group:
            for unload in plan.unloads:
                group.start_soon(self._carry_out_one, self._unload, unload)
            for load in plan.loads:
                group.start_soon(self._carry_out_one, self._load, load)

    async def _carry_out_one(self, action, decision):
        engine = self.engines.get(decision.server)
        if engine is None or not self.ownership.may_order(engine.owned):
            return
        try:
            await action(engine, decision)
        except client.StoreError as exc:
            self._record_store_failure(exc)
        except checks.InvariantError as exc:
            LOG.warning('order stopped', extra={'error': str(exc)})

    def _describe_owned(self):
        may_unload = not self._is_store_paused()
        described = {}
        for name, engine in self.engines.items():
            may_order = self.ownership.may_order(engine.owned)
            described[name] = engine.describe(
                may_order, may_order and may_unload
            )
        return described

    def _needs(self):
        live = len(self._plane.view.live())
        needs = {}
        for model in self._plane.config.catalog.models.values():
            key = targets.model_key(model)
            forecast = self.gossip.demand.forecast(key, live)
            needs[key] = targets.Need(model, forecast)
        return needs

    async def _load(self, engine, load):
        if not engine.model_memory.fits(load.key, load.size_bytes):
            return
        loan = await self.permits.borrow()
        if loan is None:
            return
        try:
            answer = await engine.send_order(
                orders.OrderKind.LOAD, load.key, load.size_bytes
            )
        except _ORDER_ERRORS:
            await self.permits.give_back(loan)
            raise
        if answer.fate in (
            order_client.Fate.REFUSED,
            order_client.Fate.NOT_SENT,
        ):
            self.planner.failures.record_failure(
                load.server, load.key, anyio.current_time()
            )
            await self.permits.give_back(loan)
            return
        self._loans[load.server, load.key] = loan

    async def _unload(self, engine, unload):
        self._unloading.add((unload.server, unload.key))
        try:
            others = await self._guard.unlist(unload, self.catalog_engines())
            if others is None:
                return
            self._invariants.check(
                'model_stays_reachable',
                unload.may_be_last or bool(others - {unload.server}),
                model=unload.key,
                server=unload.server,
            )
            await engine.send_order(
                orders.OrderKind.UNLOAD, unload.key, unload.size_bytes
            )
        finally:
            self._unloading.discard((unload.server, unload.key))

    async def _try_store(self, action, *args):
        try:
            await action(*args)
        except client.StoreError as exc:
            self._record_store_failure(exc)

    def _record_store_failure(self, exc):
        LOG.info('store call failed', extra={'error': str(exc)})
        if not isinstance(exc, client.Conflict):
            self._store_failed_at = anyio.current_time()

    def _publish(self):
        now = anyio.current_time()
        for name, described in self._describe_owned().items():
            state = self.planner.describe(described, now)
            owned = self.engines[name].owned
            if self.ownership.may_order(owned):
                self.gossip.publish_server(owned.fence, state)
        self.gossip.publish_demand()
