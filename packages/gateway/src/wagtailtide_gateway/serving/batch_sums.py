"""Sums of the requests that this instance has in each server, by model."""

import anyio


class BatchSums:
    """Seconds of running requests by server and model."""

    def __init__(self):
        # Running requests, the seconds of them since the last `take`, and
        # the time up to which these are counted.
        self._rows = {}

    def note_start(self, server_id, model, now):
        """Record that a request was sent."""
        row = self._rows.get((server_id, model))
        if row is None:
            row = self._rows[(server_id, model)] = [0, 0.0, now]
        _advance(row, now)
        row[0] += 1

    def note_end(self, server_id, model, now):
        """Record that a request has ended."""
        row = self._rows[(server_id, model)]
        _advance(row, now)
        row[0] -= 1

    def take(self):
        """Remove and return the seconds by server id and model."""
        now = anyio.current_time()
        found = {}
        for (server_id, model), row in list(self._rows.items()):
            _advance(row, now)
            found.setdefault(server_id, {})[model] = row[1]
            row[1] = 0.0
            if not row[0]:
                del self._rows[(server_id, model)]
        return found


def _advance(row, now):
    row[1] += row[0] * (now - row[2])
    row[2] = now
