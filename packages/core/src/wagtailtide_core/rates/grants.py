"""Grants: tokens that one instance lends another for one short request.

The donor lowers its level and its capacity before it answers. The requester
counts the validity from the sending of its request, the donor from its own
later grant, stretched by the clock drift, so the donor's capacity returns only
after the grant can no longer be used. Level, capacity and usable grants
together never exceed the burst, whichever messages are lost, late or repeated.
"""

import dataclasses

from wagtailtide_core.rates import bucket

# A call between two regions takes about a tenth of this. The donor's capacity
# stays lower for as long, so a longer time wastes rate.
VALID_S = 0.5
MARGIN_S = 0.1
MAX_DONORS = 6


@dataclasses.dataclass(frozen=True)
class Grant:
    """Tokens received for one request that was short.

    Attributes:
        key: Donor and number of the call, so that a repeated answer counts
            once.
        tokens: Tokens granted.
        usable_until: Own time from which they may not be used.
    """

    key: tuple[str, int]
    tokens: int
    usable_until: float


def lent_until(now, valid_s):
    """Return the donor's time at which its capacity returns."""
    return now + valid_s * bucket.CLOCK_DRIFT + MARGIN_S


def receive(key, tokens, sent_at, valid_s=VALID_S):
    """Return the grant for an answer to a request sent at ``sent_at``."""
    return Grant(key, tokens, sent_at + valid_s)


def usable_tokens(grants, now):
    """Return the tokens of the grants that may still be used."""
    by_key = {g.key: g.tokens for g in grants if now < g.usable_until}
    return sum(by_key.values())


def donors(peers, own_zone, start):
    """Choose the peers whose levels are read for a short request.

    Args:
        peers: Pairs of name and zone, sorted by name.
        own_zone: Zone whose peers come first.
        start: Number that rotates the order, so that successive requests
            draw on all peers.

    Returns:
        At most MAX_DONORS names.
    """
    near = [name for name, zone in peers if zone == own_zone]
    far = [name for name, zone in peers if zone != own_zone]
    chosen = [*_rotate(near, start), *_rotate(far, start)]
    return tuple(chosen[:MAX_DONORS])


def plan(levels, shortfall):
    """Choose what to ask of which donor.

    Nothing is asked if the levels do not cover the shortfall: tokens and
    capacity lent to a request that is refused are lost to all others for as
    long as they are lent, which under overload is most of the rate.

    Args:
        levels: Level that each donor stated, by name.
        shortfall: Tokens that are missing.

    Returns:
        Pairs of name and tokens, largest level first; empty if the donors
        cannot cover the shortfall.
    """
    asked = []
    for name, level in sorted(levels.items(), key=lambda kv: (-kv[1], kv[0])):
        if shortfall <= 0:
            break
        tokens = min(int(level), shortfall)
        if tokens > 0:
            asked.append((name, tokens))
            shortfall -= tokens
    return tuple(asked) if shortfall <= 0 else ()


def _rotate(names, start):
    if not names:
        return names
    start %= len(names)
    return names[start:] + names[:start]
