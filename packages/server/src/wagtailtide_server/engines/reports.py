"""Read the reports of engines for the accounts of their memory."""

import dataclasses
import json

import anyio
import httpx
from wagtailtide_core.placement import orders

REPORT_TIMEOUT_S = 1.0
ENDED_STATES = frozenset({'done', 'failed', 'refused'})


class ReportUnavailable(Exception):
    """The engine returned no valid report."""


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """A report of an engine.

    Attributes:
        model_report: Models and ended orders, for the account of model memory.
        adapter_report: Adapters and ended orders, for the account of the
            adapter pool.
        failed_orders: Ids of accepted orders that failed.
        role: Current role of the engine.
        draining: Whether the engine is stopping.
    """

    model_report: orders.Report
    adapter_report: orders.Report
    failed_orders: frozenset[str]
    role: str
    draining: bool


def adapter_key(model, adapter):
    """Return the key of an adapter as ``name@version:adapter``."""
    return f'{model}:{adapter}'


def parse_report(body, requested_at, has_adapter_pool):
    """Parse a report.

    Args:
        body: JSON in bytes.
        requested_at: Time at which the report was requested, in seconds.
        has_adapter_pool: Whether adapters have memory of their own;
            otherwise they use the memory for models.

    Returns:
        The EngineReport.

    Raises:
        ReportUnavailable: If the report is malformed.
    """
    try:
        raw = json.loads(body)
        models = tuple(_parse_residency(item) for item in raw['models'])
        adapters = tuple(_parse_residency(item) for item in raw['adapters'])
        states = {o['order_id']: o['state'] for o in raw['orders']}
        common_fields = {
            'boot_id': str(raw['boot_id']),
            'seq': int(raw['seq']),
            'fence': int(raw['fence']),
            'ended_orders': frozenset(
                order
                for order, state in states.items()
                if state in ENDED_STATES
            ),
            'taken_at_s': requested_at - raw['as_of_age_ms'] / 1000,
        }
        in_model_memory = models if has_adapter_pool else models + adapters
        return EngineReport(
            orders.Report(residencies=in_model_memory, **common_fields),
            orders.Report(residencies=adapters, **common_fields),
            frozenset(o for o, state in states.items() if state == 'failed'),
            str(raw['role']),
            bool(raw['draining']),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as exc:
        raise ReportUnavailable(
            f'expected a valid report, got {exc!r}'
        ) from exc


def _parse_residency(item):
    key = f'{item["model"]}@{item["version"]}'
    if 'adapter' in item:
        key = adapter_key(key, item['adapter'])
    state = orders.ResidencyState(item['state'])
    return orders.Residency(key, state, int(item['bytes']))


async def fetch_report(http, declared):
    """Read a report over a new connection.

    Args:
        http: httpx client without keep-alive connections.
        declared: Declaration of the backend server.

    Returns:
        The EngineReport.

    Raises:
        ReportUnavailable: If the engine does not respond or the report is
            malformed.
    """
    requested_at = anyio.current_time()
    try:
        with anyio.fail_after(REPORT_TIMEOUT_S):
            response = await http.get(f'http://{declared.address}/v1/report')
    except (httpx.HTTPError, TimeoutError) as exc:
        raise ReportUnavailable(
            f'{declared.name}: expected a report, got {exc!r}'
        ) from exc
    if response.status_code != 200:
        raise ReportUnavailable(
            f'{declared.name}: expected status 200, got {response.status_code}'
        )
    return parse_report(
        response.content,
        requested_at,
        has_adapter_pool=declared.adapter_pool_bytes > 0,
    )
