"""Read an engine's report in the form that the memory account needs."""

import dataclasses
import json

import anyio
import httpx
from wagtailtide_core.placement import orders

REPORT_TIMEOUT_S = 1.0
ENDED = frozenset({'done', 'failed', 'refused'})


class NoReport(Exception):
    """The engine gave no report that can be read."""


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """A report of an engine.

    Attributes:
        memory: Models and orders, for the account of model memory.
        adapters: Adapters and orders, for the account of the adapter pool.
        failed_orders: Ids of accepted orders that failed.
        role: Present role.
        draining: Whether it is stopping.
    """

    memory: orders.Report
    adapters: orders.Report
    failed_orders: frozenset[str]
    role: str
    draining: bool


def adapter_key(model, adapter):
    """Return an adapter of a model version as ``name@version:adapter``."""
    return f'{model}:{adapter}'


def parse(body, asked_at, has_pool):
    """Parse a report.

    Args:
        body: JSON in bytes.
        asked_at: Time at which it was asked for, in seconds.
        has_pool: Whether adapters have memory of their own; otherwise they
            take memory as models do.

    Raises:
        NoReport: If it has another form.
    """
    try:
        raw = json.loads(body)
        models = tuple(_residency(item) for item in raw['models'])
        adapters = tuple(_residency(item) for item in raw['adapters'])
        states = {o['order_id']: o['state'] for o in raw['orders']}
        common = {
            'boot_id': str(raw['boot_id']),
            'seq': int(raw['seq']),
            'fence': int(raw['fence']),
            'ended_orders': frozenset(
                order for order, state in states.items() if state in ENDED
            ),
            'taken_at_s': asked_at - raw['as_of_age_ms'] / 1000,
        }
        in_memory = models if has_pool else models + adapters
        return EngineReport(
            orders.Report(residencies=in_memory, **common),
            orders.Report(residencies=adapters, **common),
            frozenset(o for o, state in states.items() if state == 'failed'),
            str(raw['role']),
            bool(raw['draining']),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as exc:
        raise NoReport(f'expected a report, got {exc!r}') from exc


def _residency(item):
    key = f'{item["model"]}@{item["version"]}'
    if 'adapter' in item:
        key = adapter_key(key, item['adapter'])
    state = orders.ResidencyState(item['state'])
    return orders.Residency(key, state, int(item['bytes']))


async def fetch(http, declared):
    """Read a report on a new connection.

    Args:
        http: httpx client that keeps no connections.
        declared: Declaration of the backend server.

    Raises:
        NoReport: If there is no answer or it cannot be read.
    """
    asked_at = anyio.current_time()
    try:
        with anyio.fail_after(REPORT_TIMEOUT_S):
            response = await http.get(f'http://{declared.address}/v1/report')
    except (httpx.HTTPError, TimeoutError) as exc:
        raise NoReport(f'{declared.name}: {exc!r}') from exc
    if response.status_code != 200:
        raise NoReport(f'{declared.name}: status {response.status_code}')
    return parse(
        response.content, asked_at, has_pool=declared.adapter_pool_bytes > 0
    )
