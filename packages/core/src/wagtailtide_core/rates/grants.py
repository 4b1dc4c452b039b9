"""Grants: tokens that an instance lends to another one for a single request.

The donor lowers its level and its capacity before it answers. The requester
counts the validity of the grant from the time at which it sent its call. The
donor counts it from the later time of the grant, extended by the clock drift,
so that its capacity is restored only after the grant has expired. The sum of
the capacities of all instances and of the usable grants never exceeds the
burst, and levels are at most the capacities, even if messages are lost,
delayed or duplicated.
"""

import dataclasses

from wagtailtide_core.rates import bucket

# A call between two regions takes about a tenth of this time. The donor's
# capacity is reduced for as long, so a longer validity wastes rate.
GRANT_VALIDITY_S = 0.5
EXPIRY_MARGIN_S = 0.1
MAX_DONORS = 6


@dataclasses.dataclass(frozen=True)
class Grant:
    """Tokens received from a donor for one request.

    Attributes:
        key: Donor and number of the call, so that a duplicate answer counts
            only once.
        tokens: Number of tokens granted.
        usable_until: Local time in seconds at which the grant expires.
    """

    key: tuple[str, int]
    tokens: int
    usable_until: float


def loan_end(now, valid_s):
    """Return the donor's local time at which its capacity is restored."""
    return now + valid_s * bucket.MAX_CLOCK_SPEED_RATIO + EXPIRY_MARGIN_S


def receive(key, tokens, sent_at, valid_s=GRANT_VALIDITY_S):
    """Return the grant in an answer to a call sent at ``sent_at``."""
    return Grant(key, tokens, sent_at + valid_s)


def usable_tokens(grants, now):
    """Return the number of tokens in grants that have not expired."""
    by_key = {g.key: g.tokens for g in grants if now < g.usable_until}
    return sum(by_key.values())


def choose_donors(peers, own_zone, start):
    """Choose the peers that are asked for their levels.

    Args:
        peers: Pairs of name and zone, sorted by name.
        own_zone: Zone of this instance; peers in it come first.
        start: Number that rotates the order, so that successive requests
            use different peers.

    Returns:
        Tuple of at most `MAX_DONORS` names.
    """
    same_zone = [name for name, zone in peers if zone == own_zone]
    other_zones = [name for name, zone in peers if zone != own_zone]
    chosen = [*_rotate(same_zone, start), *_rotate(other_zones, start)]
    return tuple(chosen[:MAX_DONORS])


def split_shortfall(levels, shortfall):
    """Split the missing tokens over the donors.

    No tokens are requested if the levels do not cover the shortfall. Tokens
    and capacity that are lent for a request that is then refused are
    unavailable to all other requests in the meantime; under overload this
    would be most of the rate.

    Args:
        levels: Level stated by each donor, by name.
        shortfall: Number of missing tokens.

    Returns:
        Pairs of name and tokens, largest level first; empty if the donors
        cannot cover the shortfall.
    """
    requests = []
    for name, level in sorted(levels.items(), key=lambda kv: (-kv[1], kv[0])):
        if shortfall <= 0:
            break
        tokens = min(int(level), shortfall)
        if tokens > 0:
            requests.append((name, tokens))
            shortfall -= tokens
    return tuple(requests) if shortfall <= 0 else ()


def _rotate(names, start):
    if not names:
        return names
    start %= len(names)
    return names[start:] + names[:start]
