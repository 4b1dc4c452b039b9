"""Discrete-event loop in virtual time."""

import heapq
import itertools


class EventLoop:
    """Runs callbacks in the order of their times.

    Callbacks with the same time run in the order in which they were added.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._sequence = itertools.count()

    def at(self, time_s, callback, *args):
        """Schedule a callback.

        Args:
            time_s: Virtual time in seconds; a time in the past counts as now.
            callback: Function to call.
            *args: Its arguments.
        """
        event = (max(time_s, self.now), next(self._sequence), callback, args)
        heapq.heappush(self._events, event)

    def after(self, delay_s, callback, *args):
        """Schedule a callback after a delay in seconds."""
        self.at(self.now + delay_s, callback, *args)

    def run(self, until_s):
        """Run all callbacks that are due up to a virtual time in seconds."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now = until_s
