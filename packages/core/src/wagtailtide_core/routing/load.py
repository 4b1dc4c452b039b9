"""Estimate of the load of one backend server."""

import dataclasses

# Older reports are ignored; the estimate then uses only the requests of this
# instance.
MAX_REPORT_AGE_S = 30.0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of a backend server, as reported by the server.

    Attributes:
        running: Number of running requests.
        waiting: Number of waiting requests.
        as_of: Monotonic time in seconds of the reported state.
    """

    running: int
    waiting: int
    as_of: float


class LoadEstimate:
    """Estimated load of a backend server.

    This is the last report, corrected by the requests that this instance has
    sent and finished since.

    Attributes:
        own_running: Number of running requests of this instance.
    """

    def __init__(self):
        self._report = None
        self._sent_since = 0
        self._finished_since = 0
        self.own_running = 0

    def record_report(self, report):
        """Store a report unless it is older than the last one."""
        if self._report is not None and report.as_of < self._report.as_of:
            return
        self._report = report
        self._sent_since = 0
        self._finished_since = 0

    def record_sent(self):
        """Record that a request was sent."""
        self._sent_since += 1
        self.own_running += 1

    def record_finished(self):
        """Record that a request ended, successfully or not."""
        self._finished_since += 1
        self.own_running -= 1

    def requests(self, now):
        """Return the estimated number of running and waiting requests.

        Args:
            now: Monotonic time in seconds.
        """
        if self._report is None or now - self._report.as_of > MAX_REPORT_AGE_S:
            return max(self.own_running, 0)
        reported = self._report.running + self._report.waiting
        corrected = reported + self._sent_since - self._finished_since
        return max(corrected, self.own_running, 0)
