"""Choose the members to which an instance opens links.

The members are ordered on three rings, each by another hash. A member links to
its successors on the rings. The number of links of a member is thus constant
at any fleet size, and the graph stays connected when a zone fails.
"""

import functools

import xxhash

RINGS = 3
# Up to this size every pair has a link; the rings would give as many.
FULL_MESH_MAX_MEMBERS = 4


@functools.lru_cache(maxsize=8192)
def _position(ring, name):
    return xxhash.xxh64_intdigest(name.encode(), seed=ring), name


def links_to_open(name, members):
    """Return the members to which a member opens a link.

    Args:
        name: Name of the member.
        members: Names of all members that may have links.

    Returns:
        Names. In a fleet of up to `FULL_MESH_MAX_MEMBERS`, all names that
        sort after its own, so that each pair has one link. In a larger one,
        the next member on each ring that no earlier ring has given.
    """
    names = {*members, name}
    if len(names) <= FULL_MESH_MAX_MEMBERS:
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
    """Choose members for a key by rendezvous hashing.

    Args:
        key: Key for which the members are chosen, for example a zone.
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
