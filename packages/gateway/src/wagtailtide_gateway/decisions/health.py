"""Health of backend servers, by what requests meet."""

import dataclasses

# Weight of the newest request in a server's failure rate.
SMOOTHING = 0.15

# Seconds in which a failure rate without new requests falls to a third, so
# that a server that was avoided is tried again.
FORGET_S = 4.0

# Seconds for which a server is left out that takes no connection.
UNREACHABLE_S = 1.0


@dataclasses.dataclass
class _Record:
    failure_rate: float
    updated_at: float
    unreachable_until: float = 0.0


class Health:
    """Failure rates of the servers that this instance uses."""

    def __init__(self):
        self._records = {}

    def record(self, server_id, failed, now):
        """Note the outcome of a request."""
        rate = self.failure_rate(server_id, now)
        rate += SMOOTHING * ((1.0 if failed else 0.0) - rate)
        self._records[server_id] = _Record(rate, now)

    def record_unreachable(self, server_id, now):
        """Note that a server took no connection."""
        rate = self.failure_rate(server_id, now)
        until = now + UNREACHABLE_S
        self._records[server_id] = _Record(rate, now, until)

    def is_unreachable(self, server_id, now):
        """Return whether a server took no connection just now."""
        record = self._records.get(server_id)
        return record is not None and now < record.unreachable_until

    def unreachable(self, now):
        """Return the servers that took no connection just now."""
        return [
            server_id
            for server_id, record in self._records.items()
            if now < record.unreachable_until
        ]

    def failure_rate(self, server_id, now):
        """Return the recent share of failed requests, 0 to 1."""
        record = self._records.get(server_id)
        if record is None:
            return 0.0
        idle_s = now - record.updated_at
        return record.failure_rate / (1.0 + 2.0 * idle_s / FORGET_S)

    def keep_only(self, server_ids):
        """Forget servers that are gone."""
        self._records = {
            key: record
            for key, record in self._records.items()
            if key in server_ids
        }
