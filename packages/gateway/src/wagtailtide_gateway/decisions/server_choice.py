"""Load balancing: choice of the backend server for a request."""

import dataclasses
import zlib

# Costs are shares of a server's slots. Traffic between zones is charged for,
# but costs less than a slot of a busy server.
OTHER_ZONE_COST = 0.04

# Deducted for the server that probably has the prompt's prefix in its cache. A
# cached prefix saves about 10 ms of a stream's 1.5 s, so it only decides
# between servers of similar load.
LIKELY_PREFIX_DISCOUNT = 0.12

# Largest random part of a cost. Without it, all instances that share load data
# some hundred milliseconds old would choose the same server.
MAX_RANDOM_COST = 0.05

# Cost for a failure rate of 1. A server that fails every other request is
# chosen only if the others are full.
FAILURE_COST = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that can run the request.

    Attributes:
        id: Identifier of the server.
        zone: Availability zone of the server.
        slots: Requests that the server runs at once without waiting.
        load: Estimated number of requests in the server, from all instances,
            without those that are known to be less urgent than the request.
        failure_rate: Recent share of failed requests, 0 to 1.
        slowdown: Time that the server takes for a request divided by the time
            of its peers; 1 unless it is learned.
        less_urgent: Requests in the server that are known to be less urgent.
        ahead: Requests in the server that are more urgent, 0 if not known.
    """

    id: str
    zone: str
    slots: int
    load: float
    failure_rate: float
    slowdown: float = 1.0
    less_urgent: float = 0.0
    ahead: float = 0.0


def cost(candidate, zone, prefix_hash, preferred, random):
    """Return the cost of sending a request to a server; the lowest wins.

    Args:
        candidate: The server.
        zone: Availability zone of this instance.
        prefix_hash: Hash of the prompt's shared prefix, or None.
        preferred: Id of the server that probably has the prefix cached.
        random: Function that returns a number from 0 to 1.
    """
    load, failures, other_zone, prefix = cost_parts(
        candidate, zone, prefix_hash, preferred
    )
    return load + failures + MAX_RANDOM_COST * random() + other_zone + prefix


def cost_parts(candidate, zone, prefix_hash, preferred):
    """Return what a cost consists of, apart from its random part.

    Args:
        candidate: The server.
        zone: Availability zone of this instance.
        prefix_hash: Hash of the prompt's shared prefix, or None.
        preferred: Id of the server that probably has the prefix cached.

    Returns:
        The costs of the load, of failures and of another zone, and the cost
        of the prefix, which is negative or 0.
    """
    has_prefix = prefix_hash is not None and candidate.id == preferred
    return (
        (candidate.load + 1) / candidate.slots * candidate.slowdown,
        FAILURE_COST * candidate.failure_rate,
        0.0 if candidate.zone == zone else OTHER_ZONE_COST,
        -LIKELY_PREFIX_DISCOUNT if has_prefix else 0.0,
    )


def rendezvous_rank(prefix_hash, server_id):
    """Return the rendezvous hash of a prefix and server.

    It is the same on every instance, so that they prefer the same server for a
    prefix.
    """
    return zlib.crc32(server_id.encode(), prefix_hash)


def preferred_server(server_ids, prefix_hash):
    """Return the id of the server that probably has a prefix cached, or None.

    Args:
        server_ids: Ids of the servers that may be chosen.
        prefix_hash: Hash of the prompt's shared prefix, or None.
    """
    if prefix_hash is None:
        return None
    return max(
        server_ids,
        key=lambda id_: rendezvous_rank(prefix_hash, id_),
        default=None,
    )


def choose_server(candidates, zone, prefix_hash, random):
    """Return the candidate with the lowest cost, or None if there is none."""
    preferred = preferred_server([c.id for c in candidates], prefix_hash)
    return min(
        candidates,
        key=lambda c: cost(c, zone, prefix_hash, preferred, random),
        default=None,
    )
