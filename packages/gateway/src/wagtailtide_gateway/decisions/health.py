"""Health of backend servers, derived from the outcomes of requests."""

import dataclasses

# Weight of the latest request in the failure rate of a server.
SMOOTHING_WEIGHT = 0.15

# Seconds in which a failure rate falls to a third if no request is sent. This
# brings a server that was avoided back into use.
DECAY_TO_THIRD_S = 4.0


@dataclasses.dataclass
class _ServerRecord:
    failure_rate: float
    updated_at: float


class Health:
    """Failure rates of the servers that this instance uses."""

    def __init__(self):
        self._records = {}

    def record_outcome(self, server_id, failed, now):
        """Record whether a request to a server failed."""
        rate = self.failure_rate(server_id, now)
        rate += SMOOTHING_WEIGHT * ((1.0 if failed else 0.0) - rate)
        self._records[server_id] = _ServerRecord(rate, now)

    def failure_rate(self, server_id, now):
        """Return the recent share of failed requests, 0 to 1."""
        record = self._records.get(server_id)
        if record is None:
            return 0.0
        idle_s = now - record.updated_at
        return record.failure_rate / (1.0 + 2.0 * idle_s / DECAY_TO_THIRD_S)

    def retain(self, server_ids):
        """Drop the records of all other servers."""
        self._records = {
            key: record
            for key, record in self._records.items()
            if key in server_ids
        }
