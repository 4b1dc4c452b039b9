"""Deferred actions that run when the state is next accessed.

State that changes with time needs no background task this way: each access
first advances the timeline to the current time.
"""

import heapq


class Timeline:
    """Pending actions, ordered by the time at which they are due."""

    def __init__(self):
        self._heap = []
        self._sequence = 0

    def call_at(self, due, action):
        """Schedule ``action(due)`` for a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (due, self._sequence, action))

    def advance(self, now):
        """Run the actions that are due; yield the due time of each."""
        while self._heap and self._heap[0][0] <= now:
            due, _, action = heapq.heappop(self._heap)
            action(due)
            yield due
