"""Stores from which engines load model weights and fetch adapters.

Engines in one process can share a store. Engines in separate processes have
one each, so limits across all engines are not simulated there.
"""

import bisect
import random


class AdapterStore:
    """Simulates adapter fetches that slow down under load.

    Args:
        knee: Number of fetches in flight above which the time of a fetch
            grows in proportion to it.
        min_s: Minimum time of a fetch with at most `knee` in flight.
        max_s: Maximum time of a fetch with at most `knee` in flight.
        rng: Random number generator of the times.

    Attributes:
        most_in_flight: Highest number of fetches in flight so far.
    """

    def __init__(self, knee=80, min_s=0.005, max_s=0.010, rng=None):
        self._knee = knee
        self._fetch_range_s = (min_s, max_s)
        self._rng = rng or random.Random(1)
        self._end_times = []
        self.most_in_flight = 0

    def fetch(self, now):
        """Start a fetch at a time in seconds; return the seconds it takes."""
        del self._end_times[: bisect.bisect_right(self._end_times, now)]
        in_flight = len(self._end_times) + 1
        self.most_in_flight = max(self.most_in_flight, in_flight)
        fetch_s = self._rng.uniform(*self._fetch_range_s)
        fetch_s *= max(1.0, in_flight / self._knee)
        bisect.insort(self._end_times, now + fetch_s)
        return fetch_s


class WeightStore:
    """Simulates model loads, limited in rate and concurrency.

    Args:
        loads_per_s: Maximum rate of starts, or 0 for no limit.
        parallel_loads: Maximum number of concurrent loads, or 0 for no
            limit.

    Attributes:
        delayed: Number of loads that were delayed by a limit.
    """

    def __init__(self, loads_per_s=0.0, parallel_loads=0):
        self._interval_s = 1 / loads_per_s if loads_per_s else 0.0
        self._parallel_loads = parallel_loads
        self._next_start = float('-inf')
        self._end_times = []
        self.delayed = 0

    def load(self, now, transfer_s):
        """Start a load.

        Args:
            now: Time in seconds.
            transfer_s: Duration of a load that no limit delays.

        Returns:
            Seconds until the load has finished.
        """
        del self._end_times[: bisect.bisect_right(self._end_times, now)]
        start = max(now, self._next_start)
        if (
            self._parallel_loads
            and len(self._end_times) >= self._parallel_loads
        ):
            start = max(start, self._end_times[-self._parallel_loads])
        self.delayed += start > now
        self._next_start = start + self._interval_s
        bisect.insort(self._end_times, start + transfer_s)
        return start + transfer_s - now
