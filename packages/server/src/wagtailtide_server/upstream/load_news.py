"""Load and residency of engines, spread by the owner of each."""

import dataclasses
import itertools
import logging

import anyio
from wagtailtide_core.gossip import records

from wagtailtide_server.upstream import reports

LOG = logging.getLogger(__name__)

# A changed load is spread this often, and any load that often.
CHANGED_EVERY_S = 2.0
EVERY_S = 8.0
CHANGE_SHARE = 0.1


@dataclasses.dataclass
class _Put:
    report: reports.Report
    at: float


class LoadNews:
    """Spreads reports of own engines and takes over those of others."""

    def __init__(self, dispatcher, plane):
        """Create it.

        Args:
            dispatcher: The Dispatcher.
            plane: Control plane.
        """
        self._dispatcher = dispatcher
        self._plane = plane
        self._numbers = itertools.count(1)
        self._put = {}
        self._seen = {}

    def put(self, name, fence, report):
        """Spread the report of an own engine if it is due.

        Args:
            name: Name of the backend server.
            fence: Fencing token of its owner.
            report: The reports.Report.
        """
        now = anyio.current_time()
        if not self._is_due(self._put.get(name), report, now):
            return
        self._put[name] = _Put(report, now)
        stamp = (fence, next(self._numbers))
        self._plane.table.put(
            records.Kind.LOAD, name, stamp, _to_value(report, now), now
        )

    def _is_due(self, last, report, now):
        if last is None or _state(last.report) != _state(report):
            return True
        if now - last.at >= EVERY_S:
            return True
        before = last.report.running + last.report.waiting
        change = abs(report.running + report.waiting - before)
        return (
            change > CHANGE_SHARE * before and now - last.at >= CHANGED_EVERY_S
        )

    def take(self, own):
        """Take over what the table holds.

        Args:
            own: Names of the engines whose reports are read here.
        """
        now = anyio.current_time()
        servers = self._dispatcher.table.servers
        for record in self._plane.table.of_kind(records.Kind.LOAD, now):
            if record.id in own or self._seen.get(record.id) == record.stamp:
                continue
            self._seen[record.id] = record.stamp
            state = servers.get(record.id)
            if state is None:
                continue
            try:
                report = _from_value(record.value, now - record.age_s)
            except (TypeError, ValueError) as exc:
                LOG.info('load not readable', extra={'error': str(exc)})
                continue
            if report.as_of > state.reported_as_of:
                self._dispatcher.record_report(record.id, report, tell=False)
        for known in (self._seen, self._put):
            for name in known.keys() - servers.keys():
                del known[name]


def _state(report):
    return report.boot_id, report.draining, report.models, report.adapters


def _to_value(report, now):
    return [
        report.boot_id,
        max(0, round((now - report.as_of) * 1000)),
        report.running,
        report.waiting,
        report.draining,
        sorted([*model] for model in report.models),
        sorted([*adapter] for adapter in report.adapters),
    ]


def _from_value(value, put_at):
    boot_id, age_ms, running, waiting, draining, models, adapters = value
    return reports.Report(
        str(boot_id),
        put_at - int(age_ms) / 1000,
        frozenset((str(name), str(version)) for name, version in models),
        frozenset((str(model), str(name)) for model, name in adapters),
        int(running),
        int(waiting),
        bool(draining),
    )
