"""Reservations of engine memory for requests that are large beside it.

So few of these fit into an engine that chance does not keep the requests of
several instances apart until they know of each other's. The leader grants a
reservation for each, one after another, so that all of them together never
exceed the memory.
"""

import collections
import dataclasses
import math

from wagtailtide_gateway.decisions import engine_memory

# Requests are reserved for if fewer than this multiple of an engine's slots
# fit into it. Of smaller ones so many fit that three deviations bound them.
FITTING_PER_SLOT = 2

# Standard deviations of the tokens that requests without reservations need.
DEVIATIONS = 3.0

# A reservation counts for this many seconds if its instance falls silent, as
# the tokens that it reported do.
RESERVATION_TTL_S = engine_memory.MAX_AGE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that needs a reservation.

    Attributes:
        number: Number that its instance gave it.
        service: Name of its service.
        tokens: Tokens that it needs.
        capacity: Tokens that an engine of the service has memory for.
        usual_tokens: Root mean square of the tokens of the service's requests.
        server_ids: Ids of the servers that may run it, the best one first.
    """

    number: int
    service: str
    tokens: int
    capacity: int
    usual_tokens: float
    server_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineUse:
    """What the leader knows of the use of an engine.

    Attributes:
        held: Tokens of all requests in it, and those reserved.
        reserved: Tokens of requests with reservations among these.
        usual: Tokens that requests without reservations are expected to need
            in addition, until all instances know of a reservation.
        large_part: Part of the tokens wanted that needs reservations, 0 to 1.
    """

    held: float
    reserved: float
    usual: float
    large_part: float


def needs_reservation(tokens, capacity, slots):
    """Return whether so few requests of a size fit that each is reserved for.

    Args:
        tokens: Tokens of the request.
        capacity: Tokens that an engine has memory for.
        slots: Slots of the engine.
    """
    return tokens * FITTING_PER_SLOT * slots > capacity


def fits(request, use):
    """Return whether an engine has memory for a request.

    Requests without reservations keep what they are expected to need, but at
    most their part of what is free. Whatever they want, they leave
    `engine_memory.KEPT_PART` of the memory to those with reservations.

    Args:
        request: The Request.
        use: EngineUse of the engine.
    """
    margin = engine_memory.MARGIN_PART * request.capacity
    if not use.held and not use.usual:
        # A request that is alone in its engine needs no margin.
        margin = 0.0
    free = request.capacity - margin - use.held
    usual = min(use.usual, (1.0 - use.large_part) * max(0.0, free))
    left = free - usual - DEVIATIONS * math.sqrt(usual * request.usual_tokens)
    kept = engine_memory.KEPT_PART * request.capacity - use.reserved
    return request.tokens <= max(left, min(kept, free))


class Ledger:
    """Reservations that are not yet among the tokens that instances report."""

    def __init__(self):
        self._granted = collections.defaultdict(dict)
        self._reserved = collections.Counter()

    def reserved(self, server_id):
        """Return the tokens reserved in a server and not reported yet."""
        return self._reserved[server_id]

    def grant(self, instance, request, use_of, now):
        """Reserve memory in the first server that has it.

        An instance that asks again has not received the last answer, or has
        given its reservation back.

        Args:
            instance: Name of the instance.
            request: The Request.
            use_of: Function from the id of a server to its EngineUse, None if
                the server is not known.
            now: Time in seconds.

        Returns:
            The id of the server, or None.
        """
        self._release(instance, request.number)
        for server_id in request.server_ids:
            use = use_of(server_id)
            if use is not None and fits(request, use):
                granted = (server_id, request.tokens, now)
                self._granted[instance][request.number] = granted
                self._reserved[server_id] += request.tokens
                return server_id
        return None

    def record_report(self, instance):
        """Drop the reservations of an instance that reported its tokens.

        It reports those that it received. An answer that it has not received
        by then is dropped by it.
        """
        for number in list(self._granted.get(instance, ())):
            self._release(instance, number)

    def drop_old(self, now):
        """Drop the reservations of instances that are silent."""
        for instance, granted in list(self._granted.items()):
            for number, (_, _, granted_at) in list(granted.items()):
                if now - granted_at > RESERVATION_TTL_S:
                    self._release(instance, number)

    def _release(self, instance, number):
        granted = self._granted.get(instance, {}).pop(number, None)
        if granted is None:
            return
        server_id, tokens, _ = granted
        self._reserved[server_id] -= tokens
        if not self._reserved[server_id]:
            del self._reserved[server_id]
        if not self._granted[instance]:
            del self._granted[instance]
