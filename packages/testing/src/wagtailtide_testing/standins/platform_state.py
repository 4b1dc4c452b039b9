"""State of the platform stand-in: settings, faults, objects and lists."""

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
        list_lag_s: Seconds until a change of a list is visible.
        reads_per_s: Maximum rate of reads, or 0 for no limit.
        writes_per_s: Maximum rate of writes, or 0 for no limit.
    """

    list_lag_s: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


@dataclasses.dataclass
class PlatformFaults:
    """Active faults of the platform.

    Attributes:
        outage: '' for none, '503' to refuse all calls or 'hang' to never
            respond.
        delay_s: Delay in seconds before each call is run. A write is run
            even if its client has disconnected by then.
        lose_answers: Number of writes to apply without a response.
        lose_requests: Number of writes to drop before they are applied.
        stale_revisions: Number of latest revisions that reads do not see.
        list_lag_s: Overrides the setting `list_lag_s` unless negative.
    """

    outage: str = ''
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    stale_revisions: int = 0
    list_lag_s: float = -1.0


class _RateLimit:
    """Token bucket for the calls of all clients; its burst is one second."""

    def __init__(self, per_s):
        self._per_s = per_s
        self._tokens = per_s
        self._updated_at = -math.inf

    def acquire(self, now):
        if not self._per_s:
            return True
        refill = (now - self._updated_at) * self._per_s
        self._tokens = min(self._per_s, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """State of the platform.

    Attributes:
        objects: `objects.ObjectStore` with the stored objects.
        faults: Active faults; change them with `set_faults`.
        calls: Number of calls by kind; a watch is one call however long it
            waits.
        refused: Number of calls that exceeded the rate limit, by kind.
        recorder: Tracks open connections; requests are not kept.
    """

    def __init__(self, settings=None):
        self.settings = settings or PlatformSettings()
        self.objects = objects.ObjectStore()
        self.faults = PlatformFaults()
        self.calls = collections.Counter()
        self.refused = collections.Counter()
        # Requests carry values of up to 1 MB and would fill the memory.
        self.recorder = asgi.Recorder(limit=0)
        self._reads = _RateLimit(self.settings.reads_per_s)
        self._writes = _RateLimit(self.settings.writes_per_s)
        self._lists = {name: [(-math.inf, [])] for name in LISTS}
        self._changed = anyio.Event()

    def set_faults(self, **values):
        """Change faults; waiting watches are woken."""
        asgi.set_faults(self.faults, values)
        self.wake_watches()

    def wake_watches(self):
        """Make waiting watches check for changes again."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self):
        """Wait until `wake_watches` is called."""
        await self._changed.wait()

    def admit(self, kind, now):
        """Count a call; return whether it is within the rate limit."""
        self.calls[kind] += 1
        limit = self._writes if kind in WRITES else self._reads
        if limit.acquire(now):
            return True
        self.refused[kind] += 1
        return False

    def set_list(self, name, items, now):
        """Replace a list; the change becomes visible after the lag.

        Args:
            name: 'instances' or 'backend_servers'.
            items: Maps with name, address, zone and optionally state, which is
                'live' by default.
            now: Time in seconds.
        """
        lag_s = self.faults.list_lag_s
        if lag_s < 0:
            lag_s = self.settings.list_lag_s
        entries = [{'state': 'live', **item} for item in items]
        self._lists[name].append((now + lag_s, entries))

    def visible_list(self, name, now):
        """Return the items of a list that are visible at a time in seconds."""
        versions = self._lists[name]
        while len(versions) > 1 and versions[1][0] <= now:
            versions.pop(0)
        return versions[0][1]
