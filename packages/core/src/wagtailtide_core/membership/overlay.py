"""Which members an instance opens links to.

Three rings, each ordered by its own hash, give every member a constant number
of links at any fleet size, and a graph that stays connected when a zone fails.
"""

import functools

import xxhash

RINGS = 3
# Up to this size every pair has a link; rings would give the same number.
FULL_MESH_MAX = 4


@functools.lru_cache(maxsize=8192)
def _position(ring, name):
    return xxhash.xxh64_intdigest(name.encode(), seed=ring), name


def links_to_open(name, members):
    """Return the members to which a member opens a link.

    Args:
        name: Name of the member.
        members: Names of all members that may have links.

    Returns:
        Names: in a small fleet those above its own, so that each pair has one
        link; else the next member on each ring that is not taken yet.
    """
    names = {*members, name}
    if len(names) <= FULL_MESH_MAX:
        return frozenset(other for other in names if other > name)
    chosen = []
    for ring in range(RINGS):
        order = sorted(names, key=lambda other: _position(ring, other))
        start = order.index(name) + 1
        successors = order[start:] + order[:start]
        chosen.append(
            next(
                other
                for other in successors
                if other != name and other not in chosen
            )
        )
    return frozenset(chosen)


@functools.lru_cache(maxsize=65_536)
def _score(key, name):
    return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode())


def rendezvous(key, members, count):
    """Return the members with the highest rendezvous hash for a key.

    Args:
        key: Key, for example a zone whose watchers are chosen.
        members: Names to choose from.
        count: How many to return at most.

    Returns:
        Names, highest hash first.
    """
    ranked = sorted(
        members,
        key=lambda name: (_score(key, name), name),
        reverse=True,
    )
    return tuple(ranked[:count])
