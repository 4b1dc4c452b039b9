"""Execution of orders to an engine, such as loads and unloads."""

import collections
import dataclasses

from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import engine_settings

MAX_RECORDED_ORDERS = 256

ORDER_KINDS = ('load', 'unload', 'load_adapter', 'unload_adapter', 'set_role')


@dataclasses.dataclass(frozen=True)
class Order:
    """Order as received.

    Attributes:
        order_id: Id chosen by the sender; the same in a repeated order.
        fence: Fencing token of the sender.
        kind: One of `ORDER_KINDS`.
        model: Model name.
        version: Model version.
        adapter: Adapter name.
        bytes: Memory that a load takes, in bytes.
        role: New role, for ``set_role``.
    """

    order_id: str
    fence: int
    kind: str
    model: str = ''
    version: str = ''
    adapter: str = ''
    bytes: int = 0
    role: str = ''

    @property
    def key(self):
        """Model version as ``name@version``."""
        return f'{self.model}@{self.version}'


def parse_order(value):
    """Return the `Order` of a JSON object.

    Raises:
        BadRequest: A field is unknown or missing, or the kind is unknown.
    """
    fields = {name: item for name, item in value.items() if item is not None}
    try:
        order = Order(**fields)
    except TypeError as exc:
        raise asgi.BadRequest(
            f'expected the fields of an order: {exc}'
        ) from exc
    if order.kind not in ORDER_KINDS:
        raise asgi.BadRequest(
            f'expected an order kind of {ORDER_KINDS}, got {order.kind!r}'
        )
    return order


class Orders:
    """Recent orders and their effect on the accelerator.

    Attributes:
        fence: Highest fencing token received.
        states: State by order id: running, done, failed or refused.
        role: Current role.
        violations: Number of orders that a checking engine would have
            refused, by reason.
    """

    def __init__(self, settings, faults, accelerator, timeline, weight_store):
        self._settings = settings
        self._faults = faults
        self._accelerator = accelerator
        self._timeline = timeline
        self._weight_store = weight_store
        self.fence = 0
        self.states = collections.OrderedDict()
        self.role = settings.role
        self.violations = collections.Counter()

    def run(self, order, now, adapter_store):
        """Execute an order.

        Args:
            order: The order.
            now: Time in seconds.
            adapter_store: `stores.AdapterStore` that fetches adapters.

        Returns:
            State of the order. If the engine deduplicates orders, a repeated
            order id is not run again and the known state is returned.

        Raises:
            Refusal: The order was not executed.
        """
        self._check_fence(order)
        if self._settings.dedupes_orders and order.order_id in self.states:
            return self.states[order.order_id]
        self.states[order.order_id] = 'running'
        if len(self.states) > MAX_RECORDED_ORDERS:
            self.states.popitem(last=False)
        try:
            getattr(self, f'_{order.kind}')(order, now, adapter_store)
        except engine_settings.Refusal:
            self.states[order.order_id] = 'refused'
            raise
        return self.states[order.order_id]

    def run_duplicate(self, order, now, adapter_store):
        """Execute an order that arrives a second time, without a response."""
        try:
            self.run(order, now, adapter_store)
        except engine_settings.Refusal:
            return

    def as_report(self):
        """Return the order part of the engine's report."""
        return {
            'fence': self.fence,
            'role': self.role,
            'orders': [
                {'order_id': order_id, 'state': state}
                for order_id, state in self.states.items()
            ],
        }

    def _check_fence(self, order):
        if order.fence >= self.fence:
            self.fence = order.fence
        elif self._settings.checks_fences:
            raise engine_settings.Refusal(
                409, 'stale_fence', f'{order.fence} below {self.fence}'
            )
        else:
            self.violations['stale_fence_accepted'] += 1

    def _set_state(self, order, state):
        if order.order_id in self.states:
            self.states[order.order_id] = state

    def _load(self, order, now, _adapter_store):
        was_resident = order.key in self._accelerator.models
        resident = self._accelerator.add_model(order.key, order.bytes, now)
        if was_resident:
            self._set_state(order, 'done')
            return
        transfer_s = self._settings.load_base_s
        transfer_s += order.bytes / self._settings.load_bytes_per_s
        load_s = self._weight_store.load(now, transfer_s)
        table = self._accelerator.models
        self._schedule_load_end(
            order, table, order.key, resident, now + load_s
        )

    def _load_adapter(self, order, now, adapter_store):
        key = (order.key, order.adapter)
        was_resident = key in self._accelerator.adapters
        resident = self._accelerator.add_adapter(*key, order.bytes, now)
        if was_resident:
            self._set_state(order, 'done')
            return
        table = self._accelerator.adapters
        due = now + adapter_store.fetch(now)
        self._schedule_load_end(order, table, key, resident, due)

    def _schedule_load_end(self, order, table, key, resident, due):
        failed = asgi.consume_fault(self._faults, 'fail_loads')

        def finish(_now):
            self._accelerator.finish_load(table, key, resident, failed)
            self._set_state(order, 'failed' if failed else 'done')

        self._timeline.call_at(due, finish)

    def _unload(self, order, now, _adapter_store):
        self._begin_unload(order, self._accelerator.models, order.key, now)

    def _unload_adapter(self, order, now, _adapter_store):
        key = (order.key, order.adapter)
        self._begin_unload(order, self._accelerator.adapters, key, now)

    def _begin_unload(self, order, table, key, now):
        due = now + self._settings.unload_s
        if self._accelerator.begin_unload(table, key, due) is None:
            self._set_state(order, 'done')
            return

        def finish(at):
            self._accelerator.free_unused(at)
            self._set_state(order, 'done')

        self._timeline.call_at(due, finish)

    def _set_role(self, order, _now, _adapter_store):
        self.role = order.role
        self._set_state(order, 'done')
