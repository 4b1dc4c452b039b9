"""Which processes ran before under the names of the instances.

A process does not know what its forerunner has spent of budgets that count in
a window. The leader hears of all processes, so it can tell that there was
none.
"""

import dataclasses
import math
import random

import anyio

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections

# Seconds after the last report of a process at which it is forgotten. Longer
# than any window of a budget.
PROCESS_TTL_S = 60.0

_TOKEN_BITS = 63


@dataclasses.dataclass(frozen=True, slots=True)
class _Process:
    """A process that reports.

    Attributes:
        token: Number that tells it from others of the same instance.
        first_at: Time in seconds of its first report.
        last_at: Time in seconds of its last report.
        replaced_another: Whether another process reported before it.
    """

    token: int
    first_at: float
    last_at: float
    replaced_another: bool


class Forerunners:
    """Tells each instance since when no earlier process of it has run.

    Args:
        leads_first_term: Function that returns whether no instance has led
            before this one.
        note_free_since: Function that is called with a time in seconds since
            which this instance has had no earlier process.
    """

    def __init__(self, leads_first_term, note_free_since):
        self._leads_first_term = leads_first_term
        self._note_free_since = note_free_since
        self._token = random.getrandbits(_TOKEN_BITS)
        self._processes = {}
        self._hears_since = None

    def section(self):
        """Return the Section of reports and updates."""
        return sections.Section(
            sections.Number.FORERUNNERS,
            make_report=lambda: self._token,
            receive=self._receive,
            make_update=self._make_update,
            apply=self._apply,
            start_term=self._start_term,
        )

    def _start_term(self):
        self._processes = {}
        self._hears_since = None

    def _receive(self, instance, value, now):
        token = fields.integer(value)
        if self._hears_since is None:
            self._hears_since = -math.inf if self._leads_first_term() else now
        known = self._processes.get(instance)
        if known is not None and known.token == token:
            process = dataclasses.replace(known, last_at=now)
        else:
            self._drop_old(now)
            known = self._processes.get(instance)
            process = _Process(token, now, now, known is not None)
        self._processes[instance] = process

    def _drop_old(self, now):
        self._processes = {
            name: process
            for name, process in self._processes.items()
            if now - process.last_at <= PROCESS_TTL_S
        }

    def _make_update(self, instance, now):
        """Return for how many seconds an instance had no earlier process."""
        process = self._processes.get(instance)
        if process is None:
            return None
        if process.replaced_another:
            return now - process.first_at
        return now - self._hears_since

    def _apply(self, value, now):
        if value is not None:
            free_s = fields.duration(value)
            self._note_free_since(anyio.current_time() - free_s)
