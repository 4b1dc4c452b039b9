"""Discrete event loop in virtual time."""

import heapq
import itertools


class Loop:
    """Run callbacks in the order of their times.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()

    def at(self, time_s, callback, *args):
        """Call a function at a time, which is not in the past."""
        event = (max(time_s, self.now), next(self._numbers), callback, args)
        heapq.heappush(self._events, event)

    def after(self, delay_s, callback, *args):
        """Call a function after a delay."""
        self.at(self.now + delay_s, callback, *args)

    def run(self, until_s):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now = until_s
