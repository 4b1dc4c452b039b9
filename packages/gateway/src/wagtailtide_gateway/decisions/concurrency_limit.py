"""Tells a server that is slow from one that has too many requests."""

import math

# Slowdown relative to the known one from which a server is taken to have
# changed. With 1.6 a server that slows beyond a third of its slots costs 0.026
# of the requests, 0.02 is the bound.
SLOW_STEP = 1.25

# Relative slowdown up to which a limited server is taken to sustain its load.
SUSTAINED = 1.15

# Time in seconds for which a server has to be slower, as single requests of
# long prompts or a few steps of a batch can make it so for less.
SLOW_TIME_S = 0.5

# Share of busy slots up to which a slow server is slow at any load.
LOW_BUSY = 0.25

# Shortest and longest test of a lower limit in seconds, and the share of the
# load before it below which it shows something. Streams last 1.5 s on average,
# so that the load has fallen to the limit after about 2 s.
MIN_TEST_S = 1.0
MAX_TEST_S = 3.0
TEST_LOAD_SHARE = 0.8

# First increase of a limit that the server sustains; it doubles with each
# further one, so that a server that had a third of its slots has all of them
# after three.
FIRST_INCREASE = 0.25
MAX_INCREASE = 1.0
INCREASE_INTERVAL_S = 1.0

# Time in seconds for which a limit that was found stays. A server of a large
# fleet is slower while the instances learn that an increase was too large.
KEPT_LIMIT_S = 1.0

# Share of its limit that a server has to be loaded with to show that it
# sustains it.
LOADED_SHARE = 0.4

# Smallest share of its slots that a server keeps, because it has to get
# requests for its recovery to be seen.
MIN_SLOTS_SHARE = 0.2


class ConcurrencyLimit:
    """The limit and the slowdown at any load that explain a server's pace.

    A slowdown may show that the server is slow at any load, or that it has
    more requests than it sustains. A lower limit tells the two apart: work
    becomes faster in the second case only.

    Args:
        share: Share of the slots up to which work does not become slower.
        slowdown: Time for work at any load divided by the peers' time.

    Attributes:
        share: The current share.
        slowdown: The current slowdown at any load.
    """

    def __init__(self, share, slowdown):
        self.share = share
        self.slowdown = slowdown
        self._test = None
        self._slow_since = None
        self._increase = FIRST_INCREASE
        self._changed_at = -math.inf

    @property
    def is_testing(self):
        """Whether it is not known yet what explains a slowdown."""
        return self._test is not None

    def update(self, slowdown, busy, now):
        """Apply an estimate made at a share of busy slots."""
        if slowdown <= SUSTAINED * self.slowdown and busy > self.share:
            self._note_sustained(busy, now)
        if self._test is not None:
            self._end_test(slowdown, busy, now)
            return
        relative = slowdown / self.slowdown
        if relative >= SLOW_STEP:
            self._note_slow(slowdown, busy, now)
            return
        self._slow_since = None
        if self.slowdown > 1.0 or relative < 1.0 / SLOW_STEP:
            is_slow = slowdown > SUSTAINED
            self.slowdown = slowdown if is_slow else 1.0
        if self.share < 1.0 and now - self._changed_at >= INCREASE_INTERVAL_S:
            self._raise(relative, busy, now)

    def _note_sustained(self, busy, now):
        """Record that the server sustains more than the limit."""
        self.share = min(1.0, busy)
        if self._test is not None:
            self._test = None
            self._increase = FIRST_INCREASE
            self._changed_at = now

    def _note_slow(self, slowdown, busy, now):
        if self._slow_since is None:
            self._slow_since = now
        if now - self._slow_since < SLOW_TIME_S:
            return
        self._slow_since = None
        if busy <= LOW_BUSY:
            self.slowdown = slowdown
            return
        relative = slowdown / self.slowdown
        self._test = (self.share, relative, busy)
        lower = min(self.share, busy) / relative
        self.share = max(MIN_SLOTS_SHARE, lower)
        self._changed_at = now

    def _raise(self, relative, busy, now):
        if relative > SUSTAINED:
            self._increase = FIRST_INCREASE
        elif busy >= LOADED_SHARE * self.share:
            self.share = min(1.0, self.share * (1.0 + self._increase))
            self._increase = min(2.0 * self._increase, MAX_INCREASE)
            self._changed_at = now

    def _end_test(self, slowdown, busy, now):
        elapsed_s = now - self._changed_at
        relative = slowdown / self.slowdown
        share_before, relative_before, busy_before = self._test
        if busy > busy_before:
            # Requests that were on their way as the limit was lowered.
            busy_before, relative_before = busy, relative
            self._test = (share_before, relative_before, busy_before)
        has_settled = busy <= max(SLOW_STEP * self.share, LOW_BUSY)
        if elapsed_s >= MAX_TEST_S:
            has_settled |= busy <= TEST_LOAD_SHARE * busy_before
        if elapsed_s < MIN_TEST_S or not has_settled:
            return
        # With more requests than it sustains, its pace follows its load.
        by_load = max(1.0, relative_before * busy / max(busy_before, 0.01))
        if relative > (by_load + relative_before) / 2.0:
            self.share = share_before
            self.slowdown = slowdown
        self._test = None
        self._increase = FIRST_INCREASE
        self._changed_at = now + KEPT_LIMIT_S
