"""Memory of engines for the tokens of the requests that they hold.

What this instance has in a server is known exactly. What the others have there
is as old as their reports, and all of them may choose the same server until
they learn of each other's requests. If the others want more tokens in that
time than the engine has free, a request may use the engine only by chance: the
share is such that what all admit together stays within the free memory, three
standard deviations included. Requests that are large beside an engine need a
reservation instead, see memory_reservations.py.
"""

import collections
import dataclasses
import hashlib
import math

# Weight of the latest request in the mean size of a service's requests.
MEAN_SMOOTHING = 0.02

# Standard deviations of the number of requests that others send.
DEVIATIONS = 3.0

# Chance that large requests exceed the memory that an engine has free until
# all know of them. So few fit that their number is not normally distributed:
# with three deviations it was 0.005 where three fitted.
EXCESS_CHANCE = 1e-4

# The margin is this part of the memory while there are other instances: older
# builds among them do not report their tokens.
MARGIN_PART = 0.05

# Requests without reservations leave this part of the memory to those with
# reservations (`memory_reservations`), which would find none in an overload.
KEPT_PART = 0.15

# The sums of a new leader are complete once this part of the instances before
# reports to it: one may have ended with the last leader, or be cut off. The
# margin covers what the missing ones hold.
COMPLETE_PART = 0.95

# What the others have is unknown when it is older than this many seconds. The
# margin is then a larger part of the memory.
MAX_AGE_S = 2.5
UNKNOWN_MARGIN_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Others:
    """What is known of the other instances, alike for all engines.

    Attributes:
        are_reported: Whether the tokens that they have in engines are known.
        age_s: Seconds since they reported, at most.
        instances: Number of other instances.
        service_s: Seconds that a request runs.
    """

    are_reported: bool
    age_s: float
    instances: int
    service_s: float

    @property
    def are_unknown(self):
        """Whether their tokens are not known, or only from long ago."""
        return not self.are_reported or self.age_s > MAX_AGE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Exclusions:
    """Servers that a request may not use because of their memory.

    Attributes:
        full: Number of servers that lack memory for it.
        deferred: Number of servers that have memory for it, as far as is
            known, but are left to other requests for now.
    """

    full: int
    deferred: int


NO_EXCLUSIONS = Exclusions(0, 0)


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


def make_share_function(
    tokens,
    others,
    sizes,
    capacity,
    least_wanted=0.0,
    few_fit=False,
    kept_part=0.0,
):
    """Return a function that tells the share of requests for an engine.

    What is alike for all engines is computed once here, because the function
    is called for each engine in each decision.

    Args:
        tokens: Tokens that each request needs.
        others: Others.
        sizes: RequestSizes of the service.
        capacity: Tokens that an engine has memory for.
        least_wanted: Tokens that the others are taken to want until this
            instance knows of their requests, at least.
        few_fit: Whether so few requests fit into an engine that three
            deviations do not bound their number.
        kept_part: Part of the memory that the request may not use.

    Returns:
        A function from the tokens of this instance in the engine, those that
        the others reported, the number of the others' requests there and the
        tokens a second that they want of it, to the share of requests that
        may use the engine: from 0, if it lacks memory, to 1.
    """
    usable = (1.0 - kept_part) * capacity
    if tokens > capacity:
        return lambda own, known, load, wanted_per_s: 0.0
    size = max(sizes.root_mean_square, 1.0)
    admit = _admitted
    if few_fit:
        size, admit = max(size, tokens), _admitted_few
    hold = make_hold_function(others, sizes, capacity)
    age_s = others.age_s if others.instances else 0.0
    # Of what the others had, a part has ended since. That of long ago is
    # stated without what has ended after MAX_AGE_S, see left_part().
    ended_s = min(others.age_s, MAX_AGE_S)
    ended = 1.0 - math.exp(-ended_s / max(others.service_s, 0.001))

    def share(own, known, load, wanted_per_s):
        held = own + hold(known, load)
        if held >= usable:
            return 0.0
        # A request that would be alone in its engine needs no margin.
        if held + tokens > usable and (own or known or load):
            return 0.0
        wanted = max(wanted_per_s * age_s, least_wanted)
        if not wanted:
            return 1.0
        free = usable - held + ended * known
        admitted = admit(free, size)
        return admitted / wanted if admitted < wanted else 1.0

    return share


def _admitted(free, size):
    """Return the mean that fills the free memory with its deviations."""
    root = math.sqrt(DEVIATIONS * DEVIATIONS + 4.0 * free / size)
    return ((root - DEVIATIONS) / 2.0) ** 2 * size


def _admitted_few(free, size):
    """Return the mean that exceeds the free memory with EXCESS_CHANCE.

    The chance of more than n requests is at most mean^(n + 1) / (n + 1)!.
    """
    more = int(free // size) + 1
    logarithm = math.log(EXCESS_CHANCE) + math.lgamma(more + 1)
    return math.exp(logarithm / more) * size


def make_hold_function(others, sizes, capacity):
    """Return a function that tells what the others hold, with a margin.

    It takes the tokens that they reported for an engine and the number of
    their requests there, and returns tokens.

    Args:
        others: Others.
        sizes: RequestSizes of the service.
        capacity: Tokens that an engine has memory for.
    """
    if not others.instances:
        return lambda known, load: 0.0
    if others.are_unknown:
        margin, mean = UNKNOWN_MARGIN_PART * capacity, sizes.mean
        return lambda known, load: max(known, load * mean) + margin
    margin = MARGIN_PART * capacity
    return lambda known, load: known + margin


def are_complete(reporting, before):
    """Return whether sums have the tokens of nearly all instances.

    Args:
        reporting: Number of instances in the sums.
        before: Number in the last complete sums, 0 if it is not known.
    """
    return 0 < COMPLETE_PART * before <= reporting


def left_part(age_s, service_s):
    """Return the part of what the others had that may not have ended.

    Nothing is taken off before its age makes it unknown, as until then the
    others may have sent as much again.

    Args:
        age_s: Seconds since they reported it.
        service_s: Seconds that a request runs.
    """
    unknown_s = max(0.0, age_s - MAX_AGE_S)
    return math.exp(-unknown_s / max(service_s, 0.001))


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
        self._reserved = collections.Counter()
        self._sizes = {}

    def sizes(self, service, engine):
        """Return the RequestSizes of a service.

        Args:
            service: Name of the service.
            engine: Its Engine.
        """
        # Before any request has stated its size: the memory of a slot.
        default = engine.kv_capacity_tokens / max(1, engine.slots)
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
        return self._held.get(process, 0)

    def add(self, process, tokens, is_reserved=False):
        """Add the tokens of a request that is sent, or remove them.

        Args:
            process: Id of the server and start of the process.
            tokens: The tokens, negative to remove them.
            is_reserved: Whether the request needs a reservation.
        """
        counters = [self._held]
        if is_reserved:
            counters.append(self._reserved)
        for counter in counters:
            counter[process] += tokens
            if counter[process] <= 0:
                del counter[process]

    def by_process(self):
        """Return the tokens by process; not to be changed."""
        return self._held

    def reserved_by_process(self):
        """Return those of requests with reservations, by process."""
        return self._reserved
