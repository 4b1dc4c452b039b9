"""Orders as recorded in the store for engines that ignore fencing tokens."""

import logging

from wagtailtide_core.placement import orders

LOG = logging.getLogger(__name__)


def encode(order):
    """Return the JSON object of an order."""
    return {
        'order_id': order.order_id,
        'fence': order.fence,
        'kind': order.kind.value,
        'model': order.model,
        'size_bytes': order.size_bytes,
    }


def decode(item):
    """Return the order for a JSON object, or None if it is malformed."""
    try:
        return orders.Order(
            str(item['order_id']),
            int(item['fence']),
            orders.OrderKind(item['kind']),
            str(item['model']),
            int(item['size_bytes']),
            sent_seq=0,
            sent_at_s=0.0,
        )
    except (KeyError, TypeError, ValueError) as exc:
        LOG.error('pending order malformed', extra={'error': repr(exc)})
        return None
