"""Calls of the duty holder to the engines: orders and reports."""

import dataclasses
import logging

import anyio

from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import backend

LOG = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.6

# Reports are some hundred milliseconds old; one that is read this long after
# an order shows it if the engine took it.
REPORT_LAG_S = 0.4


class EngineCalls:
    """Gives orders under the duty's fencing number and reads reports."""

    def __init__(self, fleet, servers, duty, cfg, port, pool, metrics):
        self._fleet = fleet
        self._servers = servers
        self._duty = duty
        self._cfg = cfg
        self._port = port
        self._pool = pool
        self._metrics = metrics

    async def order(self, server_id, engine, load, model, adapter=None):
        """Give an order and return the status, None without an answer.

        The caller holds the engine's lock until it has counted the order.
        """
        order = backend.Order(
            load=load,
            model=model,
            adapter=adapter,
            order_count=engine.residency.order_count,
            holder=self._cfg.instance,
            fence=self._fleet.fence,
        )
        state = self._servers.states.get(server_id)
        if state is None or not self._duty.is_held:
            return None
        if order.fence != self._duty.fence:
            return None
        self._metrics.orders += 1
        call = self._port.order(order, server_id)
        head, _ = await self._call(state, call, ORDER_TIMEOUT_S)
        status = head.status if head else None
        LOG.info(
            'order answered',
            extra={
                'server': server_id,
                'load': order.load,
                'model': order.model,
                'adapter': order.adapter,
                'order_count': order.order_count,
                'fence': order.fence,
                'status': status,
            },
        )
        if status == 412:
            self._duty.superseded('an engine has seen a newer holder')
        return status

    async def refresh(self, server_id, engine):
        """Read an engine's report and adopt it if it is no older."""
        state = self._servers.states.get(server_id)
        if state is None:
            return None
        head, body = await self._call(
            state, self._port.report, REPORT_TIMEOUT_S
        )
        if head is None or head.status != 200:
            return None
        try:
            report = self._port.decode_report(body)
        except (ValueError, KeyError, TypeError) as exc:
            LOG.warning(
                'engine report ignored',
                extra={'server': server_id, 'reason': repr(exc)},
            )
            return None
        found, known = report.residency, engine.residency
        if found.born_ms != known.born_ms:
            return None
        if known.order_count is not None and (
            found.order_count < known.order_count
        ):
            return None
        if report.busy:
            # Not yet what it will hold; models that are being unloaded were
            # withdrawn from the news before.
            engine.residency = dataclasses.replace(
                known, order_count=found.order_count
            )
            return report
        if not found.in_memory and not found.on_disk:
            found = dataclasses.replace(
                found, in_memory=known.in_memory, on_disk=known.on_disk
            )
        self._fleet.adopt(server_id, engine, found)
        return report

    async def _call(self, state, call, timeout_s):
        conn = None
        try:
            with anyio.fail_after(timeout_s):
                conn = await self._pool.acquire(state.server.address)
                head = await conn.request(
                    call.method, call.target, call.headers, call.body
                )
                body = await conn.read_body()
        except (outgoing.ConnectionBroken, TimeoutError) as exc:
            LOG.info(
                'engine call failed',
                extra={
                    'server': state.server.id,
                    'target': call.target.decode(),
                    'reason': str(exc) or 'timeout',
                },
            )
            return None, b''
        else:
            await self._pool.release(conn)
            conn = None
            return head, body
        finally:
            if conn is not None:
                await conn.close()
