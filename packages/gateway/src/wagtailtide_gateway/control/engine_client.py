"""Calls of the leader to the engines: orders and reports."""

import dataclasses
import logging

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway import ports
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import backend
from wagtailtide_gateway.serving import server_call

LOG = logging.getLogger(__name__)

# Seconds between reads of an engine's report while an order is in progress or
# its result is unknown.
REPORT_POLL_INTERVAL_S = 0.12

# Reports lag by some hundred milliseconds. A report that is read this many
# seconds after an order shows whether the engine accepted it.
REPORT_LAG_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """What one kind of call may cost.

    Attributes:
        timeout_s: Timeout in seconds.
        max_bytes: Largest body of the response.
        shares_connections: Whether it may follow another call on the same
            connection, whose second response could be taken for that to this
            call.
    """

    timeout_s: float
    max_bytes: int
    shares_connections: bool


ORDER = CallKind(1.0, outgoing.MAX_REASON_BYTES, shares_connections=False)

# A report names each model at most three times: loaded, in memory and on disk.
# With 720 models and 100 bytes a name that is 216 kB; the rest holds 1,000
# runs.
REPORT = CallKind(0.6, 262_144, shares_connections=True)


class EngineClient:
    """Sends orders with the leader's fencing token and reads reports."""

    def __init__(self, fleet, servers, leadership, cfg, port, pool, metrics):
        self._fleet = fleet
        self._servers = servers
        self._leadership = leadership
        self._cfg = cfg
        self._port = port
        self._pool = pool
        self._metrics = metrics

    async def send_order(self, server_id, engine, load, model, adapter=None):
        """Send an order; return the HTTP status, None if not sent or answered.

        The caller holds the engine's lock until it has updated the order
        count.
        """
        order = backend.Order(
            load=load,
            model=model,
            adapter=adapter,
            order_count=engine.residency.order_count,
            leader=self._cfg.instance,
            fence=self._fleet.fence,
        )
        state = self._servers.states.get(server_id)
        if state is None or not self._leads_with(order.fence):
            return None
        if not _takes_calls(state):
            return None
        if self._fleet.engines.get(server_id) is not engine:
            # The engine restarted, or this is an order of an earlier term. The
            # order count of another process may match by chance.
            return None
        self._metrics.orders += 1
        call = self._port.encode_order(order, server_id)
        head, _ = await self._call(
            state,
            call,
            ORDER,
            lambda: self._leads_with(order.fence),
        )
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
        if status == 412 and order.fence == self._leadership.fence:
            self._leadership.step_down(
                'an engine has seen a newer fencing token'
            )
        return status

    def _leads_with(self, fence):
        """Return whether the lease of a fencing token is still valid."""
        return self._leadership.is_leader and self._leadership.fence == fence

    async def refresh(self, server_id, engine):
        """Read an engine's report and apply it unless it is out of date.

        Returns:
            The EngineReport, or None if there is none that can be used.
        """
        state = self._servers.states.get(server_id)
        if state is None or not _takes_calls(state):
            return None
        head, body = await self._call(state, self._port.report_call, REPORT)
        if head is None or head.status != 200:
            return None
        try:
            report = self._port.decode_report(body)
        except ports.DECODE_ERRORS as exc:
            LOG.warning(
                'engine report ignored',
                extra={'server': server_id, 'reason': repr(exc)},
            )
            return None
        reported, current = report.residency, engine.residency
        if reported.process_start_ms != current.process_start_ms:
            return None
        if current.order_count is not None and (
            reported.order_count < current.order_count
        ):
            return None
        if report.busy:
            # The report does not show the result of the order in progress, so
            # its order count must not be used with the models known before:
            # the next order would be accepted without knowledge of the result.
            return report
        if not reported.in_memory and not reported.on_disk:
            reported = dataclasses.replace(
                reported, in_memory=current.in_memory, on_disk=current.on_disk
            )
        now = anyio.current_time()
        for key in report.incoming_adapters:
            engine.adapter_used_at.setdefault(key, now)
        residency = _with_incoming(reported, report.incoming_adapters)
        self._fleet.update_residency(server_id, engine, residency)
        return report

    async def await_idle(self, server_id, engine):
        """Wait for a report without an order in progress.

        Returns:
            False if the engine was removed or restarted before.
        """
        while self._fleet.engines.get(server_id) is engine:
            report = await self.refresh(server_id, engine)
            if report is not None and not report.busy:
                return True
            await anyio.sleep(REPORT_POLL_INTERVAL_S)
        return False

    async def _exchange(self, conn, call, max_bytes):
        """Send a call; return raw head, ResponseHead and body.

        Client requests share the connections, and their responses have ids. A
        response with one is late, and that to this call follows it.

        Raises:
            ConnectionBroken: There is no response, or it is too large.
        """
        head = await conn.request(
            call.method, call.target, call.headers, call.body
        )
        conn.carried_call = True
        for _ in range(outgoing.MAX_STRAY_RESPONSES + 1):
            response = self._port.decode_response_head(
                head.status, head.headers
            )
            if not response.attempt_id:
                return head, response, await conn.read_body(max_bytes)
            LOG.info(
                'late response skipped',
                extra={
                    'request': response.attempt_id,
                    'status': head.status,
                    'target': call.target.decode(),
                },
            )
            head = await conn.skip_response(outgoing.MAX_LATE_BYTES)
        raise outgoing.ConnectionBroken(
            f'expected a response from {conn.address}, got late ones to '
            'other requests only',
            fate.Progress.RESPONDING,
        )

    async def _call(self, state, call, kind, is_permitted=lambda: True):
        """Send a call; return head and body, None and nothing on a failure.

        Args:
            state: ServerState of the server.
            call: The Call.
            kind: Its CallKind.
            is_permitted: Function that is asked once the connection stands,
                because the process may have been paused until then.
        """

        def is_suitable(idle):
            return kind.shares_connections or not idle.carried_call

        conn, sent_at = None, anyio.current_time()
        try:
            with anyio.fail_after(kind.timeout_s):
                conn = await self._pool.acquire(
                    state.server.address, is_suitable=is_suitable
                )
                if not state.is_contactable:
                    raise outgoing.ConnectionBroken(
                        'zone evacuated while connecting',
                        fate.Progress.CONNECTING,
                    )
                if not is_permitted():
                    raise outgoing.ConnectionBroken(
                        'lease lapsed while connecting',
                        fate.Progress.CONNECTING,
                    )
                head, response, body = await self._exchange(
                    conn, call, kind.max_bytes
                )
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
            server_call.record_statements(
                state, response, call.target.decode(), sent_at
            )
            return head, body
        finally:
            if conn is not None:
                await conn.close()


def _takes_calls(state):
    """Return whether an engine takes calls now, as to its zone and pauses."""
    return state.is_contactable and not state.pauses(anyio.current_time())


def _with_incoming(residency, incoming_adapters):
    """Return a residency that includes the adapters on their way.

    They count toward the limit on adapters, and arrive in milliseconds.
    """
    models = dict(residency.models)
    for model, adapter in incoming_adapters:
        resident = models.get(model)
        if resident is not None:
            models[model] = dataclasses.replace(
                resident, adapters=resident.adapters | {adapter}
            )
    return dataclasses.replace(residency, models=models)
