"""Gossip of engine reports, published by the owner of each engine."""

import dataclasses
import itertools
import logging

import anyio
from wagtailtide_core.gossip import records

from wagtailtide_server.upstream import reports

LOG = logging.getLogger(__name__)

# A load is published at the longest interval, and at the shorter one while it
# changes by more than the ratio. Any other change is published at once.
CHANGED_LOAD_INTERVAL_S = 2.0
MAX_PUBLISH_INTERVAL_S = 8.0
MIN_LOAD_CHANGE_RATIO = 0.1


@dataclasses.dataclass
class _Published:
    report: reports.Report
    published_at: float


class LoadGossip:
    """Publishes reports of owned engines and applies those of others."""

    def __init__(self, dispatcher, plane):
        """Create it.

        Args:
            dispatcher: The Dispatcher.
            plane: Control plane.
        """
        self._dispatcher = dispatcher
        self._plane = plane
        self._sequence = itertools.count(1)
        self._published = {}
        self._applied_stamps = {}

    def publish(self, name, fence, report):
        """Publish the report of an owned engine if it is due.

        Args:
            name: Name of the backend server.
            fence: Fencing token of the ownership.
            report: The reports.Report.
        """
        now = anyio.current_time()
        if not self._is_due(self._published.get(name), report, now):
            return
        self._published[name] = _Published(report, now)
        stamp = (fence, next(self._sequence))
        self._plane.table.put(
            records.Kind.LOAD, name, stamp, _to_value(report, now), now
        )

    def _is_due(self, last, report, now):
        if last is None or _discrete_state(last.report) != _discrete_state(
            report
        ):
            return True
        if now - last.published_at >= MAX_PUBLISH_INTERVAL_S:
            return True
        before = last.report.running + last.report.waiting
        change = abs(report.running + report.waiting - before)
        return (
            change > MIN_LOAD_CHANGE_RATIO * before
            and now - last.published_at >= CHANGED_LOAD_INTERVAL_S
        )

    def apply_records(self, owned):
        """Apply the load records in the gossip table.

        Args:
            owned: Engines that this instance owns, by name; it reads their
                reports itself.
        """
        now = anyio.current_time()
        servers = self._dispatcher.table.servers
        for record in self._plane.table.of_kind(records.Kind.LOAD, now):
            if (
                record.id in owned
                or self._applied_stamps.get(record.id) == record.stamp
            ):
                continue
            self._applied_stamps[record.id] = record.stamp
            state = servers.get(record.id)
            if state is None:
                continue
            try:
                report = _from_value(record.value, now - record.age_s)
            except (TypeError, ValueError) as exc:
                LOG.info('load record not readable', extra={'error': str(exc)})
                continue
            if report.as_of > state.reported_as_of:
                self._dispatcher.record_report(
                    record.id, report, announce=False
                )
        for by_name in (self._applied_stamps, self._published):
            for name in by_name.keys() - servers.keys():
                del by_name[name]


def _discrete_state(report):
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


def _from_value(value, sent_at):
    boot_id, age_ms, running, waiting, draining, models, adapters = value
    return reports.Report(
        str(boot_id),
        sent_at - int(age_ms) / 1000,
        frozenset((str(name), str(version)) for name, version in models),
        frozenset((str(model), str(name)) for model, name in adapters),
        int(running),
        int(waiting),
        bool(draining),
    )
