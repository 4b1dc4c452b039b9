"""Accounting of an engine's accelerator memory by its owner.

For each model the largest size that the engine may use for it is counted: what
the last report shows, and every order that may still take effect. An order
without a response may arrive late, even after it was repeated or reversed, so
it is counted until a newer fencing token blocks it or the network can no
longer deliver it.
"""

import dataclasses

from wagtailtide_core.placement import orders

# TCP stops retransmitting data after about this time (15 retransmissions), so
# an order without a response cannot arrive later.
MAX_ORDER_DELAY_S = 924.0
# An answered order may be delivered a second time within this time, and an
# engine need not recognise the duplicate.
MAX_REDELIVERY_DELAY_S = 60.0


class MemoryAccount:
    """Memory of one engine, computed from reports and the owner's orders.

    Attributes:
        capacity_bytes: Memory for models, without the adapter pool.
        report: Last report, or None.
        fence: Fencing token of the owner; may be increased.
    """

    def __init__(self, capacity_bytes, checks_fences, fence=0):
        """Create the account.

        Args:
            capacity_bytes: Memory for models.
            checks_fences: Whether the engine refuses old fencing tokens.
            fence: Fencing token of the owner.
        """
        self.capacity_bytes = capacity_bytes
        self.report = None
        self.fence = fence
        self._checks_fences = checks_fences
        self._orders = {}

    def add_pending(self, pending, now):
        """Count loads that a previous owner recorded before sending them.

        This owner does not know their responses, and they may have been sent
        at any time until now.

        Args:
            pending: Recorded orders.
            now: Current time in seconds.
        """
        for order in pending:
            self._orders[order.order_id] = dataclasses.replace(
                order, state=orders.OrderState.UNKNOWN, sent_at_s=now
            )

    def used_bytes(self):
        """Return the largest memory that the engine may be using."""
        return sum(self._sizes().values())

    def _sizes(self):
        sizes = {}
        reported = self.report.residencies if self.report else ()
        for residency in reported:
            sizes[residency.model] = residency.size_bytes
        for order in self._orders.values():
            if order.kind is orders.OrderKind.LOAD:
                known = sizes.get(order.model, 0)
                sizes[order.model] = max(known, order.size_bytes)
        return sizes

    def is_fenced(self):
        """Return whether unknown orders of previous owners are ruled out.

        An engine that checks fencing tokens must have accepted the owner's
        token. Before that, and after a crash in which it lost the token, it
        executes late orders that this account does not know.
        """
        if self.report is None:
            return False
        return not self._checks_fences or self.report.fence >= self.fence

    def fits(self, model, size_bytes):
        """Return whether a model can be loaded without overcommitment."""
        if not self.is_fenced():
            return False
        sizes = self._sizes()
        sizes[model] = max(size_bytes, sizes.get(model, 0))
        return sum(sizes.values()) <= self.capacity_bytes

    def record_order(self, order, invariants):
        """Record an order that is about to be sent.

        Args:
            order: Order.
            invariants: Invariants that check the memory.

        Raises:
            InvariantError: If a load would overcommit the memory.
        """
        if order.kind is orders.OrderKind.LOAD:
            invariants.check(
                'memory_never_overcommitted',
                self.fits(order.model, order.size_bytes),
                order_id=order.order_id,
                used_bytes=self.used_bytes(),
                capacity_bytes=self.capacity_bytes,
            )
        self._orders[order.order_id] = order

    def mark_accepted(self, order_id):
        """Record that the engine accepted an order; a report shows its end."""
        self._set_state(order_id, orders.OrderState.ACCEPTED)

    def mark_refused(self, order_id):
        """Record that the engine refused an order.

        The order had no effect, but a duplicate may still be executed.
        """
        self._set_state(order_id, orders.OrderState.REFUSED)

    def mark_not_sent(self, order_id):
        """Remove an order that was never sent."""
        self._orders.pop(order_id, None)

    def mark_unanswered(self, order_id):
        """Record that an order got no response and may still arrive."""
        self._set_state(order_id, orders.OrderState.UNKNOWN)

    def _set_state(self, order_id, state):
        if order_id in self._orders:
            self._orders[order_id] = dataclasses.replace(
                self._orders[order_id], state=state
            )

    def apply(self, report):
        """Apply a report unless it is older than the last one.

        Returns:
            Whether the report was newer than the last one.
        """
        last = self.report
        if last is not None and last.boot_id == report.boot_id:
            if report.seq <= last.seq:
                return False
        elif last is not None:
            if report.taken_at_s <= last.taken_at_s:
                return False
            self._reopen_accepted()
        self.report = report
        self._drop_settled(report)
        return True

    def _reopen_accepted(self):
        # A restarted engine does not report orders that ended before.
        for order in tuple(self._orders.values()):
            if order.state is orders.OrderState.ACCEPTED:
                self.mark_unanswered(order.order_id)

    def _drop_settled(self, report):
        for order in tuple(self._orders.values()):
            if self._is_settled(order, report):
                del self._orders[order.order_id]

    def _is_settled(self, order, report):
        if self._checks_fences and report.fence > order.fence:
            # This report shows the effect of the order, if it had any; the
            # engine refuses it from now on.
            return True
        age_s = report.taken_at_s - order.sent_at_s
        if order.state is orders.OrderState.UNKNOWN:
            return age_s > MAX_ORDER_DELAY_S
        if order.state is orders.OrderState.SENT:
            return False
        ended = (
            order.state is orders.OrderState.REFUSED
            or order.order_id in report.ended_orders
        )
        return ended and age_s > MAX_REDELIVERY_DELAY_S

    def ready_models(self):
        """Return the models that are ready and have no pending unload.

        Models are left out if an unload of them is in progress or may still
        arrive.
        """
        leaving = {
            order.model
            for order in self._orders.values()
            if order.kind is orders.OrderKind.UNLOAD
        }
        reported = self.report.residencies if self.report else ()
        return frozenset(
            residency.model
            for residency in reported
            if residency.state is orders.ResidencyState.READY
            and residency.model not in leaving
        )

    def unsettled(self):
        """Return the orders that may still take effect."""
        return tuple(self._orders.values())
