"""Turns of the instances for requests that are large beside an engine.

An engine holds few of these, so that those which the instances send before
they know of each other's may exceed its memory, and chance does not keep them
apart. While it is unknown what the others want, or while they want more than
the engines have free, an instance sends large requests only in its turn: as
many instances as large requests fit have their turn at an engine, for one
request each until the others know of it. The leader numbers the instances and
the turns.
"""

import collections
import dataclasses
import math

# Weight of the latest request in the part of the tokens that large ones need.
PART_SMOOTHING = 0.02

# The largest size is forgotten by this factor with each large request.
LARGEST_DECAY = 0.98

# Requests that were sent longer ago are known to all, also in large fleets.
SENT_TTL_S = 60.0

# Standard deviations of the tokens that requests of the usual size need.
DEVIATIONS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """Place of this instance in the turns.

    Attributes:
        rank: Number of the instance, from 0.
        instances: Number of instances.
        half: Number of the half turn.
    """

    rank: int
    instances: int
    half: int


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that a large request may use.

    Attributes:
        id: Its id.
        process: Id of its process, as it is given to `record_sent`.
        share: Share of requests that may use it if chance decides.
        free: Tokens that are free in it, as far as is known.
        wanted: Tokens that the others want of it until they know of each
            other's requests, those of all sizes.
    """

    id: str
    process: object
    share: float
    free: float
    wanted: float


def is_large(tokens, capacity, slots):
    """Return whether requests of a size fill an engine before its slots."""
    return tokens * slots > capacity


def permitted(turn, engine, engines, count):
    """Return how many large requests an instance may send to an engine.

    It may send as many until the others know of them. All instances together
    send at most `count`, also those that see the next turn already: from one
    turn to the next, one instance is added at each engine.

    Args:
        turn: The Turn.
        engine: Number of the engine, from 0.
        engines: Number of engines.
        count: Number of large requests that fit.
    """
    place = turn.rank + engine * turn.instances // engines + turn.half // 2
    position = place % turn.instances
    if count <= 1:
        # A half without any separates one instance from the next.
        return int(count == 1 and position == 0 and turn.half % 2 == 0)
    each, rest = divmod(count - 1, turn.instances)
    return each + (position < rest)


class LargeRequests:
    """What this instance wanted of late, and the large requests it sent."""

    def __init__(self):
        self._wanted = collections.defaultdict(collections.deque)
        self._sent = collections.defaultdict(collections.deque)
        self._tokens = 0.0
        self._large_tokens = 0.0
        self._largest = 0.0

    def record_wanted(self, key, tokens, large, now):
        """Add a request, when it is wanted for the first time.

        Args:
            key: Service and model.
            tokens: Tokens that it needs.
            large: Whether it is large.
            now: Time in seconds.
        """
        kept = 1.0 - PART_SMOOTHING
        self._tokens = self._tokens * kept + tokens
        self._large_tokens = self._large_tokens * kept + tokens * large
        if large:
            self._wanted[key].append((now, tokens))
            self._largest = max(tokens, self._largest * LARGEST_DECAY)

    def record_sent(self, process, now):
        """Add a large request that is sent to a process of a server."""
        for other, times in list(self._sent.items()):
            if now - times[-1] > SENT_TTL_S:
                del self._sent[other]
        self._sent[process].append(now)

    def sent(self, process, period_s, now):
        """Return how many large requests were sent in a period of seconds."""
        times = self._sent.get(process)
        if times is None:
            return 0
        while times and now - times[0] > period_s:
            times.popleft()
        if not times:
            del self._sent[process]
        return len(times)

    def rise(self, key, period_s, now):
        """Return by how many tokens the demand for large requests has risen.

        Args:
            key: Service and model.
            period_s: Seconds that are compared with as many before them.
            now: Time in seconds.
        """
        wanted = self._wanted.get(key)
        if wanted is None:
            return 0
        while wanted and now - wanted[0][0] > 2.0 * period_s:
            wanted.popleft()
        if not wanted:
            del self._wanted[key]
        rise = 0
        for wanted_at, tokens in wanted:
            rise += tokens if now - wanted_at <= period_s else -tokens
        return max(0, rise)

    def fitting(self, tokens, engines, turn, rise, mean, period_s, now):
        """Return the ids of the engines that a large request may use.

        If the demand for large requests has not risen and the others leave
        memory for all, an engine may be used at any time.

        Args:
            tokens: Tokens that the request needs.
            engines: Engine objects, in the same order on all instances.
            turn: The Turn.
            rise: Tokens by which the demand for large requests has risen.
            mean: Mean tokens of a request of any size.
            period_s: Seconds until the others know of a request.
            now: Time in seconds.
        """
        fitting = set()
        for number, engine in enumerate(engines):
            if engine.share == 1.0 and not rise:
                fitting.add(engine.id)
                continue
            count = self._fitting_count(tokens, engine, mean)
            most = permitted(turn, number, len(engines), count)
            if most > self.sent(engine.process, period_s, now):
                fitting.add(engine.id)
        return fitting

    def _fitting_count(self, tokens, engine, mean):
        """Return how many large requests fit beside those of other sizes."""
        part = self._large_tokens / max(1.0, self._tokens)
        usual = (1.0 - part) * engine.wanted
        left = engine.free - usual - DEVIATIONS * math.sqrt(usual * mean)
        return int(max(left, part * engine.free) // max(tokens, self._largest))
