"""State of the platform stand-in: settings, faults, calls and lists."""

import collections
import dataclasses
import math

import anyio

from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import objects

LISTS = ('instances', 'backend_servers')
WRITES = ('put', 'delete')


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Settings of the platform.

    Attributes:
        list_lag_s: Time before a change of a list is visible.
        reads_per_s: Limit on reads, or 0 for none.
        writes_per_s: Limit on writes, or 0 for none.
    """

    list_lag_s: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


@dataclasses.dataclass
class PlatformFaults:
    """Faults that are switched on.

    Attributes:
        outage: '' for none, '503' to refuse or 'hang' never to answer.
        delay_s: Delay before each call is carried out. A write is carried
            out even if its client has gone by then.
        lose_answers: Number of writes to apply without an answer.
        lose_requests: Number of writes to drop without an answer.
        stale_revisions: Number of revisions that reads are behind.
        list_lag_s: Replaces the lag of the lists unless negative.
    """

    outage: str = ''
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    stale_revisions: int = 0
    list_lag_s: float = -1.0


class _CallRate:
    """Token bucket over the calls of all clients, one second deep."""

    def __init__(self, per_s):
        self._per_s = per_s
        self._level = per_s
        self._at = -math.inf

    def take(self, now):
        if not self._per_s:
            return True
        refill = (now - self._at) * self._per_s
        self._level = min(self._per_s, self._level + refill)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Platform:
    """State of the platform.

    Attributes:
        objects: Stored objects.
        faults: Faults; may be changed at any time with `set_faults`.
        calls: Number of calls by kind; a waiting watch is one call.
        refused: Number of calls refused for their rate, by kind.
        recorder: Open connections; requests are only counted.
    """

    def __init__(self, settings=None):
        self.settings = settings or PlatformSettings()
        self.objects = objects.Objects()
        self.faults = PlatformFaults()
        self.calls = collections.Counter()
        self.refused = collections.Counter()
        # Values of up to 1 MB would fill the memory in a long run.
        self.recorder = asgi.Recorder(limit=0)
        self._reads = _CallRate(self.settings.reads_per_s)
        self._writes = _CallRate(self.settings.writes_per_s)
        self._lists = {name: [(-math.inf, [])] for name in LISTS}
        self._changed = anyio.Event()

    def set_faults(self, **values):
        """Change faults; waiting watches notice at once."""
        asgi.set_faults(self.faults, values)
        self.wake_watches()

    def wake_watches(self):
        """Let waiting watches look again."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_change(self):
        """Wait for the next change of objects or faults."""
        await self._changed.wait()

    def admit(self, kind, now):
        """Count a call and tell whether it is within the rate."""
        self.calls[kind] += 1
        rate = self._writes if kind in WRITES else self._reads
        if rate.take(now):
            return True
        self.refused[kind] += 1
        return False

    def set_list(self, name, items, now):
        """Replace a list; visible after the lag.

        Args:
            name: 'instances' or 'backend_servers'.
            items: Maps with name, address, zone and state.
            now: Time in seconds.
        """
        lag_s = self.faults.list_lag_s
        if lag_s < 0:
            lag_s = self.settings.list_lag_s
        entries = [{'state': 'live', **item} for item in items]
        self._lists[name].append((now + lag_s, entries))

    def visible_list(self, name, now):
        """Return a list as it is visible now."""
        versions = self._lists[name]
        while len(versions) > 1 and versions[1][0] <= now:
            versions.pop(0)
        return versions[0][1]
