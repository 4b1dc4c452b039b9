"""Account of an engine's accelerator memory, kept by its owner.

Counts, for each model, the largest size that the engine may hold for it: what
the last report shows and every order that may still take effect. An order
without a response may arrive late, also after it was repeated or reversed, so
it is counted until a newer fencing token keeps it out or the network can no
longer hold it.
"""

import dataclasses

from wagtailtide_core.placement import orders

# TCP gives up sending data after about this time (15 retransmissions).
LATE_ORDER_BOUND_S = 924.0
# An order that was answered may be delivered a second time within this time;
# an engine need not recognise the repetition.
REPEAT_BOUND_S = 60.0


class MemoryAccount:
    """Memory of one engine, from reports and the owner's own orders.

    Attributes:
        capacity_bytes: Memory for models, without the adapter pool.
        report: Last report, or None.
        fence: Fencing token of the owner; it may be raised.
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
        """Count loads that a previous owner recorded before it sent them.

        Their response is not known to this owner, and they may have been
        sent at any time until now.
        """
        for order in pending:
            self._orders[order.order_id] = dataclasses.replace(
                order, state=orders.OrderState.UNKNOWN, sent_at_s=now
            )

    def used_bytes(self):
        """Return the memory that the engine may use, at most."""
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
        """Return whether the report shows all that older orders can do.

        An engine that checks fencing tokens must have taken the owner's:
        before that, and again after a crash in which it forgot the token,
        it obeys late orders that this account does not have.
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

    def send(self, order, invariants):
        """Note an order that is about to be sent.

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

    def accepted(self, order_id):
        """Note that the engine took an order; its report shows the end."""
        self._set_state(order_id, orders.OrderState.ACCEPTED)

    def refused(self, order_id):
        """Note that the engine refused an order.

        It has no effect, but a repetition of it may still be obeyed.
        """
        self._set_state(order_id, orders.OrderState.REFUSED)

    def not_sent(self, order_id):
        """Note that an order was never sent."""
        self._orders.pop(order_id, None)

    def unanswered(self, order_id):
        """Note that an order got no response and may still arrive."""
        self._set_state(order_id, orders.OrderState.UNKNOWN)

    def _set_state(self, order_id, state):
        if order_id in self._orders:
            self._orders[order_id] = dataclasses.replace(
                self._orders[order_id], state=state
            )

    def apply(self, report):
        """Take a report into account; an older one is ignored.

        Returns:
            Whether the report was newer than the last one.
        """
        known = self.report
        if known is not None and known.boot_id == report.boot_id:
            if report.seq <= known.seq:
                return False
        elif known is not None:
            if report.taken_at_s <= known.taken_at_s:
                return False
            self._forget_ends()
        self.report = report
        self._settle(report)
        return True

    def _forget_ends(self):
        # The new process does not report the orders of the old one.
        for order in tuple(self._orders.values()):
            if order.state is orders.OrderState.ACCEPTED:
                self.unanswered(order.order_id)

    def _settle(self, report):
        for order in tuple(self._orders.values()):
            if self._is_settled(order, report):
                del self._orders[order.order_id]

    def _is_settled(self, order, report):
        if self._checks_fences and report.fence > order.fence:
            # Whatever of it took effect is in this report; the rest cannot.
            return True
        age_s = report.taken_at_s - order.sent_at_s
        if order.state is orders.OrderState.UNKNOWN:
            return age_s > LATE_ORDER_BOUND_S
        if order.state is orders.OrderState.SENT:
            return False
        ended = (
            order.state is orders.OrderState.REFUSED
            or order.order_id in report.ended_orders
        )
        return ended and age_s > REPEAT_BOUND_S

    def ready_models(self):
        """Return the models that are ready and will stay so.

        A model with an unload under way, or one that may still arrive, is
        not counted on.
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
