"""Tells a slow server from the scatter of its service.

What a batch consists of explains most of a server's pace, not all of it.
While little of it is learned, or where batches slow models in a way that is
not learned, servers without a fault differ more.
"""

import math
import statistics

from wagtailtide_gateway.decisions import concurrency_limit

# Time constant in seconds of the ratio that a server's ratio is taken to
# scatter around.
USUAL_S = 5.0

# Time constants in seconds of the scatter of a service's ratios, while it
# grows and while it falls.
GROWING_S = 1.0
FALLING_S = 10.0

# Scatter at first, and the time in seconds that this counts for. Until then
# no server is found slow.
INITIAL = 0.1
INITIAL_S = 1.5

# Scatter, as a mean difference of logarithms, of servers whose batches are
# explained: 0.008 in replays without mixed batches, 0.02 to 0.06 with them.
# What is beyond counts this many times towards the least difference of a slow
# server.
EXPLAINED = 0.01
WEIGHT = 5.0

# Largest of these least differences, as a slowdown.
MAX_TOLERANCE = 1.6

# What a smaller difference counts as at most.
TOLERATED = 1.15


class PaceScatter:
    """How much the ratios of a service's servers change without a fault."""

    def __init__(self):
        self._scatter = INITIAL
        self._age_s = 0.0

    def update(self, differences, elapsed_s):
        """Add an evaluation.

        The median counts, so that one server that becomes slow does not.

        Args:
            differences: Of each server, the difference of its ratio from its
                usual one, as a logarithm.
            elapsed_s: Time in seconds since the last call.
        """
        new = statistics.median_low(abs(value) for value in differences)
        if new > self._scatter:
            time_s = GROWING_S
        else:
            time_s = min(FALLING_S, INITIAL_S + self._age_s)
        part = min(1.0, elapsed_s / time_s)
        self._scatter += part * (new - self._scatter)
        self._age_s += elapsed_s

    def tolerated(self, ratio):
        """Return a server's ratio without what may be scatter."""
        if ratio <= TOLERATED:
            return ratio
        excess = self._scatter - EXPLAINED
        if self._age_s < INITIAL_S:
            least = math.inf
        elif excess > 0.0:
            step = concurrency_limit.SLOW_STEP
            least = min(MAX_TOLERANCE, step * math.exp(WEIGHT * excess))
        else:
            return ratio
        return ratio if ratio >= least else TOLERATED


def follow(usual, difference, elapsed_s):
    """Return the usual difference of a server after another one."""
    return usual + min(1.0, elapsed_s / USUAL_S) * (difference - usual)
