"""Detect silent links and stalled event loops."""

import dataclasses
import enum

PING_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0
# A live peer accepts a second connection within milliseconds.
SECOND_CONNECTION_TIMEOUT_S = 1.0
STALL_THRESHOLD_S = 2.0


class LinkAction(enum.Enum):
    """What to do about a link.

    Attributes:
        NONE: Nothing.
        OPEN_SECOND: Open a second connection to the peer, to find out
            whether only the existing connection is broken.
    """

    NONE = 'none'
    OPEN_SECOND = 'open_beside'


@dataclasses.dataclass
class LinkHealth:
    """Time of the last frame on a link and state of its replacement.

    Attributes:
        last_frame_at: When the last frame was received, in seconds.
        opening_second: Whether a second connection to the peer was begun.
    """

    last_frame_at: float
    opening_second: bool = False

    def record_frame(self, now):
        """Record that a frame was received."""
        self.last_frame_at = now

    def is_silent(self, now):
        """Return whether no frame was received for the silence timeout."""
        return now - self.last_frame_at >= SILENCE_TIMEOUT_S

    def check(self, now):
        """Return what to do.

        OPEN_SECOND is returned once, when the link is first found silent.
        """
        if self.opening_second or not self.is_silent(now):
            return LinkAction.NONE
        self.opening_second = True
        return LinkAction.OPEN_SECOND


class StallDetector:
    """Detect that the event loop did not run for a while.

    Args:
        interval_s: Planned time between ticks in seconds.
        now: Current time in seconds.
    """

    def __init__(self, interval_s, now):
        self._interval_s = interval_s
        self._ticked_at = now

    def tick(self, now):
        """Return whether the loop stalled since the previous tick."""
        late_s = now - self._ticked_at - self._interval_s
        self._ticked_at = now
        return late_s > STALL_THRESHOLD_S
