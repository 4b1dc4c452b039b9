"""Memory of engines for the tokens of the requests that they hold.

What this instance has in a server is known exactly. What the others have there
is as old as their reports, and all of them may choose the same server until
they learn of each other's requests. If the others want more tokens in that
time than the engine has free, a request may use the engine only by chance: the
share is such that what all admit together stays within the free memory, three
standard deviations included.
"""

import collections
import dataclasses
import hashlib
import math

# Weight of the latest request in the mean size of a service's requests.
MEAN_SMOOTHING = 0.02

# Standard deviations of the number of requests that others send.
DEVIATIONS = 3.0

# The margin is this part of the memory while there are other instances: older
# builds among them do not report their tokens.
MARGIN_PART = 0.05

# What the others have is unknown when it is older than this many seconds. The
# margin is then a larger part of the memory.
MAX_AGE_S = 2.5
UNKNOWN_MARGIN_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Others:
    """What the other instances have in a server, and what they want.

    Attributes:
        tokens: Tokens that they reported, None if that is not known.
        load: Number of their requests.
        age_s: Seconds since they reported, at most.
        instances: Number of other instances.
        wanted_per_s: Tokens a second of their requests that the server could
            run.
        service_s: Seconds that a request runs.
    """

    tokens: int | None
    load: int
    age_s: float
    instances: int
    wanted_per_s: float
    service_s: float

    @property
    def is_unknown(self):
        """Whether the tokens are not known, or only from long ago."""
        return self.tokens is None or self.age_s > MAX_AGE_S


class RequestSizes:
    """Mean and mean square of the tokens of a service's requests."""

    def __init__(self, default):
        self._default = float(default)
        self._count = 0
        self._mean = 0.0
        self._square = 0.0

    @property
    def mean(self):
        """Mean tokens of a request."""
        return self._mean if self._count else self._default

    @property
    def root_mean_square(self):
        """Root mean square of the tokens, which weighs large requests more."""
        return math.sqrt(self._square) if self._count else self._default

    def record(self, tokens):
        """Add a request that states its tokens."""
        self._count += 1
        weight = max(MEAN_SMOOTHING, 1.0 / self._count)
        self._mean += weight * (tokens - self._mean)
        self._square += weight * (tokens * tokens - self._square)


def admitted_share(own, others, sizes, capacity):
    """Return the share of requests that may use an engine, 0 to 1.

    Args:
        own: Tokens of this instance in the engine.
        others: Others, what the other instances have there.
        sizes: RequestSizes of the service.
        capacity: Tokens that the engine has memory for.
    """
    wanted = others.wanted_per_s * others.age_s
    free = capacity - own - held_by_others(others, sizes, capacity)
    if free <= 0:
        return 0.0
    if not others.instances or not wanted:
        return 1.0
    # Of what the others had, a part has ended since.
    ended = 1.0 - math.exp(-others.age_s / max(others.service_s, 0.001))
    free += ended * (others.tokens or 0)
    size = max(sizes.root_mean_square, 1.0)
    # The mean of which the mean and its deviations fill the free memory.
    root = math.sqrt(DEVIATIONS**2 + 4.0 * free / size)
    mean = ((root - DEVIATIONS) / 2.0) ** 2
    return min(1.0, mean * size / wanted)


def held_by_others(others, sizes, capacity):
    """Return the tokens of other instances in an engine, with a margin.

    Args:
        others: Others.
        sizes: RequestSizes of the service.
        capacity: Tokens that the engine has memory for.
    """
    if not others.instances:
        return 0.0
    known = others.tokens or 0
    if others.is_unknown:
        known = max(known, others.load * sizes.mean)
        return known + UNKNOWN_MARGIN_PART * capacity
    return known + MARGIN_PART * capacity


def fits(tokens, own, others, sizes, capacity, chance):
    """Return whether a request may use an engine beside what it holds.

    A request that would be alone in its engine needs no margin.

    Args:
        tokens: Tokens that the request needs.
        own: Tokens of this instance in the engine.
        others: Others, what the other instances have there.
        sizes: RequestSizes of the service.
        capacity: Tokens that the engine has memory for.
        chance: Number from 0 to 1 for this request and engine that stays the
            same until the others learn of requests.
    """
    if tokens > capacity:
        return False
    if chance >= admitted_share(own, others, sizes, capacity):
        return False
    held = own + held_by_others(others, sizes, capacity)
    is_empty = not own and not others.tokens and not others.load
    return is_empty or held + tokens <= capacity


def chances(request, server_ids, window):
    """Return the chance of a request at each of some engines, 0 to 1.

    The chance at one engine is spread evenly over all requests. Those of one
    request differ, so that it may nearly always use as many of its engines as
    the shares add up to.

    Args:
        request: Id of the request.
        server_ids: Ids of the engines that can run it.
        window: Number of the present window of time.
    """
    hashes = {s: _hash(request, s, window) for s in server_ids}
    offset = _hash(request, '', window)
    ranked = sorted(hashes, key=hashes.get)
    return {
        server_id: (rank + offset) / len(ranked)
        for rank, server_id in enumerate(ranked)
    }


def _hash(request, server_id, window):
    """Return a number from 0 to 1."""
    text = f'{request} {server_id} {window}'.encode()
    digest = hashlib.blake2b(text, digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


class HeldTokens:
    """Tokens of this instance by process of a server, and sizes by service."""

    def __init__(self):
        self._held = collections.Counter()
        self._sizes = {}

    def sizes(self, service, engine):
        """Return the RequestSizes of a service.

        Args:
            service: Name of the service.
            engine: Its Engine.
        """
        # Before any request has stated its size: the memory of a slot.
        default = engine.kv_capacity_tokens / engine.slots
        return self._sizes.get(service) or RequestSizes(default)

    def record_size(self, service, engine, tokens):
        """Add a request that states its tokens to the sizes of a service.

        Args:
            service: Name of the service.
            engine: Its Engine.
            tokens: Tokens of the request.
        """
        sizes = self.sizes(service, engine)
        sizes.record(tokens)
        self._sizes[service] = sizes

    def own(self, process):
        """Return the tokens of this instance in a process of a server.

        Args:
            process: Id of the server and start of the process.
        """
        return self._held[process]

    def add(self, process, tokens):
        """Add the tokens of a request that is sent, or remove them."""
        self._held[process] += tokens
        if self._held[process] <= 0:
            del self._held[process]

    def by_process(self):
        """Return the tokens by process."""
        return dict(self._held)
