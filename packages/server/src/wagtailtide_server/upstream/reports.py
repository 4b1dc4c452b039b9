"""Reports of model engines."""

import dataclasses
import json

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_server.upstream import failures

REPORT_TARGET = b'/v1/report'
REPORT_TIMEOUT_S = 1.0
READY = 'ready'


@dataclasses.dataclass(frozen=True)
class Report:
    """State of an engine as it reported it.

    Attributes:
        boot_id: Identifier of its process.
        as_of: Time of the state, in seconds of this instance's monotonic
            clock.
        models: Models that are ready, as ``(name, version)``.
        adapters: Adapters that are ready, as ``(model, adapter)``.
        running: Number of running requests.
        waiting: Number of waiting requests.
        draining: Whether it is draining.
    """

    boot_id: str
    as_of: float
    models: frozenset[tuple[str, str]]
    adapters: frozenset[tuple[str, str]]
    running: int
    waiting: int
    draining: bool


def parse(body, received_at):
    """Parse the body of a report.

    Args:
        body: JSON in bytes.
        received_at: Monotonic time in seconds.

    Raises:
        ValueError: If the body is not a report.
    """
    try:
        raw = json.loads(body)
        return Report(
            boot_id=str(raw['boot_id']),
            as_of=received_at - raw['as_of_age_ms'] / 1_000,
            models=frozenset(
                (item['model'], item['version'])
                for item in raw['models']
                if item['state'] == READY
            ),
            adapters=frozenset(
                (item['model'], item['adapter'])
                for item in raw['adapters']
                if item['state'] == READY
            ),
            running=int(raw['running']),
            waiting=int(raw['waiting']),
            draining=bool(raw['draining']),
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'expected a report, got {exc!r}') from exc


async def fetch(client, address):
    """Read an engine's report on a new connection.

    Args:
        client: The upstream client.
        address: ``ip:port`` of the engine.

    Raises:
        AttemptError: If there is no response or it is not a report.
    """
    status, body = await client.probe(address, REPORT_TARGET, REPORT_TIMEOUT_S)
    try:
        if status != 200:
            raise ValueError(f'expected status 200, got {status}')
        return parse(body, anyio.current_time())
    except ValueError as exc:
        raise failures.AttemptError(
            failures.FailureKind.WRONG_RESPONSE, kinds.Fate.UNKNOWN, str(exc)
        ) from exc
