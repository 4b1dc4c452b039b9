"""Grants: tokens that one instance lends another for one short request.

The donor lowers its level and its capacity before it answers. The requester
counts the validity from the sending of its request, the donor from its own
later grant, stretched by the clock drift, so the donor's capacity returns only
after the grant can no longer be used. Level, capacity and usable grants
together never exceed the burst, whichever messages are lost, late or repeated.
"""

import dataclasses

from wagtailtide_core.rates import bucket

VALID_S = 2.0
MARGIN_S = 0.1
PEERS_AT_ONCE = 2
ROUNDS = 3


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


def rounds(peers, own_zone, start):
    """Choose which peers are asked in each round.

    Args:
        peers: Pairs of name and zone, sorted by name.
        own_zone: Zone whose peers come first.
        start: Number that rotates the order, so that successive requests
            draw on all peers.

    Returns:
        At most three tuples of at most two names.
    """
    near = [name for name, zone in peers if zone == own_zone]
    far = [name for name, zone in peers if zone != own_zone]
    chosen = [*_rotate(near, start), *_rotate(far, start)]
    return [
        tuple(chosen[i : i + PEERS_AT_ONCE])
        for i in range(0, min(len(chosen), PEERS_AT_ONCE * ROUNDS), 2)
    ]


def split(shortfall, count):
    """Return the tokens to ask of each of ``count`` peers."""
    return -(-shortfall // count)


def _rotate(names, start):
    if not names:
        return names
    start %= len(names)
    return names[start:] + names[:start]
