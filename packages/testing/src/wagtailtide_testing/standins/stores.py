"""Shared sources of model weights and adapters for engines.

Engines in one process can share one object; an engine that is a process of
its own has its own, so limits over all engines are then not simulated.
"""

import bisect
import random


class AdapterStore:
    """Adapter fetches, slower once more than the knee are in flight."""

    def __init__(self, knee=80, min_s=0.005, max_s=0.010, rng=None):
        self._knee = knee
        self._range_s = (min_s, max_s)
        self._rng = rng or random.Random(1)
        self._ends = []
        self.most_in_flight = 0

    def fetch(self, now):
        """Start a fetch at a time in seconds; return how long it takes."""
        del self._ends[: bisect.bisect_right(self._ends, now)]
        in_flight = len(self._ends) + 1
        self.most_in_flight = max(self.most_in_flight, in_flight)
        time_s = self._rng.uniform(*self._range_s)
        time_s *= max(1.0, in_flight / self._knee)
        bisect.insort(self._ends, now + time_s)
        return time_s


class WeightStore:
    """Model loads, limited in rate and in number at once.

    Attributes:
        delayed: Number of loads that had to wait for a limit.
    """

    def __init__(self, loads_per_s=0.0, parallel_loads=0):
        self._interval_s = 1 / loads_per_s if loads_per_s else 0.0
        self._parallel = parallel_loads
        self._next_start = float('-inf')
        self._ends = []
        self.delayed = 0

    def load(self, now, transfer_s):
        """Start a load; return the time until it has finished."""
        del self._ends[: bisect.bisect_right(self._ends, now)]
        start = max(now, self._next_start)
        if self._parallel and len(self._ends) >= self._parallel:
            start = max(start, self._ends[-self._parallel])
        self.delayed += start > now
        self._next_start = start + self._interval_s
        bisect.insort(self._ends, start + transfer_s)
        return start + transfer_s - now
