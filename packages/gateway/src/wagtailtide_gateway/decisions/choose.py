"""Choice of the backend server that runs a request."""

import dataclasses
import zlib

# Score of a request in another zone, as a share of a server's slots: bytes
# between zones are paid for, but less than a place in a busy batch.
OTHER_ZONE = 0.04

# Score that a server gains which has probably read this prompt's prefix. A
# prefix saves about 10 ms of a stream's 1.5 s, so it decides among servers
# that are nearly alike.
LIKELY_PREFIX = 0.12

# Largest random part of a score. Instances that share a view some hundred
# milliseconds old would otherwise all pick the same server.
SPREAD = 0.05

# Score for each unit of the failure rate, so a server that fails every other
# request is taken only where the others are full.
FAILING = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that can run the request.

    Attributes:
        id: Its id.
        zone: Its zone.
        slots: Requests that it runs at once.
        load: Requests in it by estimate, of all instances.
        failure_rate: Recent share of failed requests, 0 to 1.
        slowness: Its time for a request against its peers' time, 1 or more.
    """

    id: str
    zone: str
    slots: int
    load: float
    failure_rate: float
    slowness: float = 1.0


def score(candidate, zone, prefix_hash, preferred, random):
    """Return how unfit a server is; the smallest is chosen.

    Args:
        candidate: The server.
        zone: Zone of this instance.
        prefix_hash: Hash of the prompt's shared part, or None.
        preferred: Id of the server that likely holds the part.
        random: Function that returns a number from 0 to 1.
    """
    value = (candidate.load + 1) / candidate.slots * candidate.slowness
    value += FAILING * candidate.failure_rate
    value += SPREAD * random()
    if candidate.zone != zone:
        value += OTHER_ZONE
    if prefix_hash is not None and candidate.id == preferred:
        value -= LIKELY_PREFIX
    return value


def rendezvous(prefix_hash, server_id):
    """Return the rank of a server for a prefix, the same everywhere."""
    return zlib.crc32(server_id.encode(), prefix_hash)


def choose(candidates, zone, prefix_hash, random):
    """Return the fittest candidate, or None if there are none."""
    preferred = None
    if prefix_hash is not None and candidates:
        preferred = max(
            candidates, key=lambda c: rendezvous(prefix_hash, c.id)
        ).id
    return min(
        candidates,
        key=lambda c: score(c, zone, prefix_hash, preferred, random),
        default=None,
    )
