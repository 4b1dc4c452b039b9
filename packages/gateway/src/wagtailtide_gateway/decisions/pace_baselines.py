"""Expected pace of each kind of work, learned from all servers that do it."""

import dataclasses
import statistics

# Time constant in seconds of an expected pace. It is longer than most slow
# periods of single servers.
TIME_S = 10.0

# Seconds for which a pace counts as that of peers after only one server, or
# none, still does this kind of work.
PEERS_TTL_S = TIME_S

# Bands of the share of busy slots: quarters, and beyond all slots.
BANDS = 5

# Largest number of kinds of work. Kinds beyond it are ignored.
MAX_KINDS = 2_000


def band_of(busy):
    """Return the band of a share of busy slots."""
    return min(int(busy * (BANDS - 1)), BANDS - 1)


@dataclasses.dataclass(slots=True)
class _Baseline:
    """Expected pace of a kind of work.

    Attributes:
        pace: Seconds per unit.
        servers: Most servers that it was taken from at once.
        confirmed_at: Time in seconds at which several servers last did this
            work.
    """

    pace: float
    servers: int
    confirmed_at: float


class PaceBaselines:
    """Paces by service, model, size of the prompt and band.

    The work of a single server has none: it would be compared with itself.
    """

    def __init__(self):
        self._baselines = {}
        self._now = 0.0

    def update(self, paces, elapsed_s):
        """Add the paces of the servers.

        Args:
            paces: Lists of the servers' paces by service, model, size and
                band.
            elapsed_s: Time in seconds since the last call.
        """
        self._now += elapsed_s
        weight = min(1.0, elapsed_s / TIME_S)
        for key, found in paces.items():
            if len(found) < 2:
                continue
            # The lower one of two: slow servers are fewer than others.
            pace = statistics.median_low(found)
            known = self._baselines.get(key)
            if known is None or len(found) > known.servers:
                if known is None and len(self._baselines) >= MAX_KINDS:
                    continue
                self._baselines[key] = _Baseline(pace, len(found), self._now)
            else:
                known.pace += weight * (pace - known.pace)
                known.confirmed_at = self._now
        self._baselines = {
            key: known
            for key, known in self._baselines.items()
            if self._now - known.confirmed_at <= PEERS_TTL_S
        }

    def expected(self, service, model, size, band):
        """Return the pace of peers, in the next band that has any.

        A limited server has a smaller share of busy slots than its peers.
        None if no peers do such work.
        """
        for distance in range(BANDS):
            for other in (band + distance, band - distance):
                found = self._baselines.get((service, model, size, other))
                if found is not None:
                    return found.pace
        return None
