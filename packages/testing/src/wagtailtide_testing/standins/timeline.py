"""Actions due at a time, run when the state is next looked at.

State that changes with time needs no background task this way: whoever reads
or changes it first advances the timeline to the present.
"""

import heapq


class Timeline:
    """Pending actions in the order of their times."""

    def __init__(self):
        self._heap = []
        self._count = 0

    def at(self, due, action):
        """Run ``action(due)`` once the time has come."""
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, action))

    def advance(self, now):
        """Run the actions that are due and yield the time of each."""
        while self._heap and self._heap[0][0] <= now:
            due, _, action = heapq.heappop(self._heap)
            action(due)
            yield due
