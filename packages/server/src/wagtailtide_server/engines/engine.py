"""An owned model engine: its memory accounts and the orders to it."""

import dataclasses
import itertools
import logging

import anyio
from wagtailtide_core.document import capacity
from wagtailtide_core.placement import decisions
from wagtailtide_core.placement import memory
from wagtailtide_core.placement import orders

from wagtailtide_server.control import order_client
from wagtailtide_server.engines import pending_orders
from wagtailtide_server.engines import reports

LOG = logging.getLogger(__name__)

# An order without a response for this time is settled by a higher fencing
# token, or may be sent again on engines that ignore fencing tokens.
UNANSWERED_ORDER_TIMEOUT_S = 4.0
# A load that no report shows for this time is no longer expected to happen.
UNREPORTED_LOAD_TIMEOUT_S = 10.0
STALE_FENCE = 'stale_fence'

_LOAD_KINDS = frozenset({orders.OrderKind.LOAD, orders.OrderKind.LOAD_ADAPTER})


class Engine:
    """State of an engine while this instance owns it.

    Attributes:
        owned: Owned, with the engine's declaration and record.
        model_memory: MemoryAccount of the models.
        adapter_memory: MemoryAccount of the adapters; the same object as
            model_memory if the engine has no adapter pool.
        report: Last EngineReport, or None.
        ready_since: Time in seconds by ready model or adapter since which it
            is ready.
    """

    def __init__(self, owned, ownership, http, invariants):
        declared = owned.declared
        self.owned = owned
        self.report = None
        self.ready_since = {}
        self._ownership = ownership
        self._http = http
        self._invariants = invariants
        self._order_numbers = itertools.count(1)
        self._kinds = {}
        model_memory_bytes = capacity.model_memory_bytes(declared)
        self.model_memory = memory.MemoryAccount(
            model_memory_bytes, declared.checks_fences, owned.fence
        )
        self.adapter_memory = self.model_memory
        if declared.adapter_pool_bytes:
            self.adapter_memory = memory.MemoryAccount(
                declared.adapter_pool_bytes,
                declared.checks_fences,
                owned.fence,
            )
        self._add_pending_orders(owned.record.pending)

    @property
    def name(self):
        """Name of the backend server."""
        return self.owned.declared.name

    def _add_pending_orders(self, pending):
        now = anyio.current_time()
        for item in pending:
            order = pending_orders.decode(item)
            if order is None:
                continue
            is_adapter = ':' in order.model
            account = self.adapter_memory if is_adapter else self.model_memory
            account.add_pending((order,), now)

    async def read_report(self):
        """Read a report and apply it to the memory accounts.

        Returns:
            Orders that failed since the last report.

        Raises:
            ReportUnavailable: If the engine returned no valid report.
        """
        report = await reports.fetch_report(self._http, self.owned.declared)
        unsettled = {o.order_id: o for o in self.model_memory.unsettled()}
        if not self.model_memory.apply(report.model_report):
            return ()
        if self.adapter_memory is not self.model_memory:
            self.adapter_memory.apply(report.adapter_report)
        known = self.report.failed_orders if self.report else frozenset()
        self.report = report
        now = anyio.current_time()
        ready = self.model_memory.ready_models()
        self.ready_since = {
            model: self.ready_since.get(model, now) for model in ready
        }
        failed = report.failed_orders - known
        return tuple(unsettled[o] for o in failed if o in unsettled)

    def is_stopping(self):
        """Return whether the engine reports that it is stopping."""
        return self.report is not None and self.report.draining

    def ready_models(self):
        """Return when each ready model became ready.

        Models with an unsettled unload are left out, and so are all models of
        a stopping engine.

        Returns:
            Time in seconds by model.
        """
        if self.is_stopping():
            return {}
        return {m: t for m, t in self.ready_since.items() if ':' not in m}

    def describe(self, may_load, may_unload):
        """Return the OwnedServer for the planner.

        A stopping engine is described without models, so that its models
        are loaded on other engines while it still serves requests.

        Args:
            may_load: Whether this instance may load models.
            may_unload: Whether this instance may unload models.
        """
        declared = self.owned.declared
        sizes = {}
        if self.model_memory.report is not None:
            sizes = {
                r.model: r.size_bytes
                for r in self.model_memory.report.residencies
            }
        free = (
            self.model_memory.capacity_bytes - self.model_memory.used_bytes()
        )
        usable = self.model_memory.is_fenced() and not self.is_stopping()
        return decisions.OwnedServer(
            declared.name,
            declared.zone,
            declared.accelerators,
            free if usable else 0,
            tuple(
                decisions.Resident(model, sizes[model], since)
                for model, since in self.ready_models().items()
                if model in sizes
            ),
            frozenset() if self.is_stopping() else self._loading_models(),
            may_load=may_load and usable,
            may_unload=may_unload and usable,
        )

    def _loading_models(self):
        """Return the models that are expected to become ready."""
        report = self.model_memory.report
        if report is None:
            return frozenset()
        loading = {
            r.model
            for r in report.residencies
            if r.state is orders.ResidencyState.LOADING
        }
        cutoff = anyio.current_time() - UNREPORTED_LOAD_TIMEOUT_S
        for order in self.model_memory.unsettled():
            if (
                order.kind in _LOAD_KINDS
                and order.state is not orders.OrderState.REFUSED
                and order.order_id not in report.ended_orders
                and order.sent_at_s > cutoff
            ):
                loading.add(order.model)
        return frozenset(
            model
            for model in loading
            if ':' not in model and model not in self.ready_since
        )

    def unanswered_orders(self):
        """Return the latest order for each model if it got no response.

        Only orders to engines that ignore fencing tokens are returned; on
        other engines a higher token settles them.
        """
        if (
            self.owned.declared.checks_fences
            or self.model_memory.report is None
        ):
            return ()
        latest = {}
        for order in self.model_memory.unsettled():
            latest[order.model] = order
        cutoff = anyio.current_time() - UNANSWERED_ORDER_TIMEOUT_S
        resident = {r.model for r in self.model_memory.report.residencies}
        return tuple(
            order
            for order in latest.values()
            if order.state is orders.OrderState.UNKNOWN
            and order.sent_at_s < cutoff
            and ':' not in order.model
            and (order.kind is orders.OrderKind.UNLOAD)
            == (order.model in resident)
        )

    async def establish_fence(self):
        """Make the engine accept this owner's current fencing token.

        Takes a higher token first if that is needed to settle orders without
        a response.

        Raises:
            StoreError: If a higher token is needed and cannot be taken.
        """
        declared = self.owned.declared
        if not declared.checks_fences or self.report is None:
            return
        if self._needs_higher_fence():
            async with self.owned.lock:
                if self._ownership.may_order(self.owned):
                    await self._ownership.raise_fence(self.owned)
                    self.model_memory.fence = self.owned.fence
                    self.adapter_memory.fence = self.owned.fence
        if not self.model_memory.is_fenced():
            await self.send_order(
                orders.OrderKind.SET_ROLE, role=self.report.role
            )

    def _needs_higher_fence(self):
        cutoff = anyio.current_time() - UNANSWERED_ORDER_TIMEOUT_S
        return any(
            order.state is orders.OrderState.UNKNOWN
            and order.sent_at_s < cutoff
            for account in (self.model_memory, self.adapter_memory)
            for order in account.unsettled()
            if order.fence == self.owned.fence
        )

    async def send_order(
        self, kind, model='', size_bytes=0, adapter='', role=''
    ):
        """Send an order and record its answer in the memory account.

        Args:
            kind: OrderKind.
            model: Model, as ``name@version``.
            size_bytes: Memory that a load takes, in bytes.
            adapter: Name of the adapter.
            role: New role of the engine.

        Returns:
            The Answer.

        Raises:
            InvariantError: If this instance may not send the order.
            StoreError: If the order has to be recorded first and is not.
        """
        async with self.owned.lock:
            return await self._send_order(
                kind, model, size_bytes, adapter, role
            )

    async def _send_order(self, kind, model, size_bytes, adapter, role):
        # Also checked before the store is written, so that an instance that
        # may not send orders does not change the record either.
        self._ownership.check_order(self.owned)
        account = self.adapter_memory if adapter else self.model_memory
        key = reports.adapter_key(model, adapter) if adapter else model
        order = orders.Order(
            f'{self.name}-{self.owned.fence}-{next(self._order_numbers)}',
            self.owned.fence,
            _account_kind(kind),
            key,
            size_bytes,
            account.report.seq if account.report else 0,
            anyio.current_time(),
        )
        if kind is not orders.OrderKind.SET_ROLE:
            if not self.owned.declared.checks_fences:
                await self._record_pending(order)
            order = dataclasses.replace(order, sent_at_s=anyio.current_time())
        self._ownership.check_order(self.owned)
        account.record_order(order, self._invariants)
        name, _, version = model.partition('@')
        wire_order = order_client.WireOrder(
            order.order_id,
            order.fence,
            kind.value,
            name,
            version,
            adapter,
            size_bytes,
            role,
        )
        answer = order_client.Answer(order_client.Fate.UNANSWERED, 'cancelled')
        try:
            answer = await order_client.send_order(
                self._http, self.owned.declared.address, wire_order
            )
        finally:
            self._record_answer(account, order, answer)
        LOG.info(
            'order sent',
            extra={
                'backend_server': self.name,
                'order_id': order.order_id,
                'kind': kind.value,
                'model': key,
                'fate': answer.fate.value,
                'reason': answer.reason,
            },
        )
        if answer.reason == STALE_FENCE:
            self._ownership.mark_lost(self.name)
        return answer

    async def _record_pending(self, order):
        unsettled = dict.fromkeys(
            (
                *self.model_memory.unsettled(),
                *self.adapter_memory.unsettled(),
                order,
            )
        )
        await self._ownership.write_pending(
            self.owned, [pending_orders.encode(item) for item in unsettled]
        )

    async def prune_record(self):
        """Clear the orders in the store's record once all are settled.

        Raises:
            StoreError: If the record was not written.
        """
        async with self.owned.lock:
            settled = not (
                self.model_memory.unsettled()
                or self.adapter_memory.unsettled()
            )
            if (
                settled
                and self.owned.record.pending
                and self._ownership.may_order(self.owned)
            ):
                await self._ownership.write_pending(self.owned, ())

    def _record_answer(self, account, order, answer):
        if answer.fate is order_client.Fate.ACCEPTED:
            account.mark_accepted(order.order_id)
        elif answer.fate is order_client.Fate.REFUSED:
            account.mark_refused(order.order_id)
        elif answer.fate is order_client.Fate.NOT_SENT:
            account.mark_not_sent(order.order_id)
        else:
            account.mark_unanswered(order.order_id)


def _account_kind(kind):
    """Return the kind under which a memory account counts an order."""
    if kind is orders.OrderKind.LOAD_ADAPTER:
        return orders.OrderKind.LOAD
    if kind is orders.OrderKind.UNLOAD_ADAPTER:
        return orders.OrderKind.UNLOAD
    return kind
