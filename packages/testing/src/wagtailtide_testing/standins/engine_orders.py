"""Orders to an engine: fences, duplicates, load and unload."""

import collections
import dataclasses

from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import engine_settings

KEPT_ORDERS = 256

KINDS = ('load', 'unload', 'load_adapter', 'unload_adapter', 'set_role')


@dataclasses.dataclass(frozen=True)
class Order:
    """One order.

    Attributes:
        order_id: Id chosen by the sender.
        fence: Fencing token of the sender.
        kind: One of `KINDS`.
        model: Model name.
        version: Model version.
        adapter: Adapter name.
        bytes: Memory that a load takes.
        role: New role.
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
        """Key of the model version."""
        return f'{self.model}@{self.version}'


def parse_order(value):
    """Return the order of a JSON object.

    Raises:
        BadRequest: A field is unknown or missing.
    """
    given = {name: item for name, item in value.items() if item is not None}
    try:
        order = Order(**given)
    except TypeError as exc:
        raise asgi.BadRequest(
            f'expected the fields of an order: {exc}'
        ) from exc
    if order.kind not in KINDS:
        raise asgi.BadRequest(f'expected a kind of {KINDS}, got {order.kind}')
    return order


class Orders:
    """Orders seen and their effect on the accelerator.

    Attributes:
        fence: Highest fencing token seen.
        states: State by order id: running, done, failed or refused.
        role: Current role.
        violations: Counts of what an engine that checks would have refused.
    """

    def __init__(self, settings, faults, accelerator, timeline, weights):
        self._settings = settings
        self._faults = faults
        self._accelerator = accelerator
        self._timeline = timeline
        self._weights = weights
        self.fence = 0
        self.states = collections.OrderedDict()
        self.role = settings.role
        self.violations = collections.Counter()

    def run(self, order, now, adapters):
        """Carry an order out.

        Args:
            order: The order.
            now: Time in seconds.
            adapters: Source of adapters.

        Returns:
            Its state.

        Raises:
            Refusal: It was not carried out.
        """
        self._check_fence(order)
        if self._settings.dedupes_orders and order.order_id in self.states:
            return self.states[order.order_id]
        self.states[order.order_id] = 'running'
        if len(self.states) > KEPT_ORDERS:
            self.states.popitem(last=False)
        try:
            getattr(self, f'_{order.kind}')(order, now, adapters)
        except engine_settings.Refusal:
            self.states[order.order_id] = 'refused'
            raise
        return self.states[order.order_id]

    def run_again(self, order, now, adapters):
        """Carry out the second arrival of an order; nobody is answered."""
        try:
            self.run(order, now, adapters)
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

    def _end(self, order, state):
        if order.order_id in self.states:
            self.states[order.order_id] = state

    def _load(self, order, now, _adapters):
        known = order.key in self._accelerator.models
        held = self._accelerator.add_model(order.key, order.bytes, now)
        if known:
            self._end(order, 'done')
            return
        transfer_s = self._settings.load_base_s
        transfer_s += order.bytes / self._settings.load_bytes_per_s
        time_s = self._weights.load(now, transfer_s)
        table = self._accelerator.models
        self._finish_later(order, table, order.key, held, now + time_s)

    def _load_adapter(self, order, now, adapters):
        key = (order.key, order.adapter)
        known = key in self._accelerator.adapters
        held = self._accelerator.add_adapter(*key, order.bytes, now)
        if known:
            self._end(order, 'done')
            return
        table = self._accelerator.adapters
        due = now + adapters.fetch(now)
        self._finish_later(order, table, key, held, due)

    def _finish_later(self, order, table, key, held, due):
        failed = asgi.take_one(self._faults, 'fail_loads')

        def finish(_now):
            self._accelerator.finish_load(table, key, held, failed)
            self._end(order, 'failed' if failed else 'done')

        self._timeline.at(due, finish)

    def _unload(self, order, now, _adapters):
        self._begin_unload(order, self._accelerator.models, order.key, now)

    def _unload_adapter(self, order, now, _adapters):
        key = (order.key, order.adapter)
        self._begin_unload(order, self._accelerator.adapters, key, now)

    def _begin_unload(self, order, table, key, now):
        due = now + self._settings.unload_s
        if self._accelerator.begin_unload(table, key, due) is None:
            self._end(order, 'done')
            return

        def finish(at):
            self._accelerator.free_unused(at)
            self._end(order, 'done')

        self._timeline.at(due, finish)

    def _set_role(self, order, _now, _adapters):
        self.role = order.role
        self._end(order, 'done')
