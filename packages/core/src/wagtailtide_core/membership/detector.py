"""Detect silent links and stalled event loops."""

import dataclasses
import enum

PING_INTERVAL_S = 1.0
SILENCE_S = 3.0
# A connection beside a silent one is answered in milliseconds if at all.
BESIDE_TIMEOUT_S = 1.0
STALL_S = 2.0


class LinkAction(enum.Enum):
    """What to do about a link."""

    NONE = 'none'
    OPEN_BESIDE = 'open_beside'


@dataclasses.dataclass
class LinkHealth:
    """When a link was heard, and whether a second connection is tried.

    Attributes:
        heard_at: When the last frame was received.
        trying: Whether a connection beside it is being opened.
    """

    heard_at: float
    trying: bool = False

    def hear(self, now):
        """Record a received frame."""
        self.heard_at = now

    def silent(self, now):
        """Return whether nothing was received for too long."""
        return now - self.heard_at >= SILENCE_S

    def check(self, now):
        """Return what to do; OPEN_BESIDE once for each attempt."""
        if self.trying or not self.silent(now):
            return LinkAction.NONE
        self.trying = True
        return LinkAction.OPEN_BESIDE


class StallDetector:
    """Detect that the event loop did not run for a while."""

    def __init__(self, interval_s, now):
        self._interval_s = interval_s
        self._at = now

    def tick(self, now):
        """Return whether the loop stalled since the previous tick."""
        late_s = now - self._at - self._interval_s
        self._at = now
        return late_s > STALL_S
