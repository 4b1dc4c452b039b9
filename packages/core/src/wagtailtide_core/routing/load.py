"""Estimate of the load of one backend server."""

import dataclasses

# A report older than this says nothing about the load any more; the estimate
# then rests on the instance's own requests alone.
STALE_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of a backend server as it stated it.

    Attributes:
        running: Requests that were running.
        waiting: Requests that were waiting.
        as_of: Monotonic time in seconds at which this was so.
    """

    running: int
    waiting: int
    as_of: float


class LoadEstimate:
    """Last report, corrected by the instance's own requests since then."""

    def __init__(self):
        self._report = None
        self._sent_since = 0
        self._finished_since = 0
        self.own_running = 0

    def record_report(self, report):
        """Take over a report unless it is older than the one known."""
        if self._report is not None and report.as_of < self._report.as_of:
            return
        self._report = report
        self._sent_since = 0
        self._finished_since = 0

    def record_sent(self):
        """Note that a request was sent."""
        self._sent_since += 1
        self.own_running += 1

    def record_finished(self):
        """Note that a request ended, whether whole or not."""
        self._finished_since += 1
        self.own_running -= 1

    def requests(self, now):
        """Return the estimated number of requests running or waiting.

        Args:
            now: Monotonic time in seconds.
        """
        if self._report is None or now - self._report.as_of > STALE_AFTER_S:
            return max(self.own_running, 0)
        reported = self._report.running + self._report.waiting
        corrected = reported + self._sent_since - self._finished_since
        return max(corrected, self.own_running, 0)
