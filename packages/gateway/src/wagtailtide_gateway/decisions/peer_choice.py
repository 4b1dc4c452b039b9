"""Choice of the instances that forward another one's requests to servers."""

import dataclasses
import math
import zlib

# Instances that one instance may forward requests to. Several, so that one
# that is lost is not missed; few, so that connections are reused.
PEERS_PER_INSTANCE = 4

# Smallest weight of an instance, in cores.
MIN_CAPACITY = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that accepts requests to forward.

    Attributes:
        instance: Its name.
        capacity: Its capacity, in cores.
    """

    instance: str
    capacity: float


def choose_peers(instance, candidates, count=PEERS_PER_INSTANCE):
    """Return the names of the instances that forward for an instance.

    Weighted rendezvous hashing: the choice changes little when candidates come
    and go, and all instances together use the candidates by their capacity.

    Args:
        instance: Name of the instance whose requests are forwarded.
        candidates: Candidate objects.
        count: Largest number of names.
    """
    ranked = sorted(
        (c for c in candidates if c.instance != instance),
        key=lambda c: _rank(instance, c),
    )
    return tuple(c.instance for c in ranked[:count])


def _rank(instance, candidate):
    digest = zlib.crc32(f'{instance}/{candidate.instance}'.encode())
    uniform = (digest + 0.5) / 2**32
    return -math.log(uniform) / max(candidate.capacity, MIN_CAPACITY)
