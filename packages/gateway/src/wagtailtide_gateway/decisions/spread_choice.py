"""Choice of a server by instances that see the same load data."""

from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import server_choice


def choose(candidates, zone, prefix_hash, random, renewed_share, room):
    """Return the candidate for a request, or None if all are full.

    Between two exchanges all instances see the same loads, and the cheapest
    server would get all their requests. Instead, the requests expected from
    all of them until the next exchange are distributed so that the servers'
    costs become equal, and the server is drawn with the resulting shares.

    Args:
        candidates: The Candidate objects.
        zone: Availability zone of this instance.
        prefix_hash: Hash of the prompt's shared prefix, or None.
        random: Function that returns a number from 0 to 1.
        renewed_share: Share of the running requests that ends, and is
            replaced by others, between two exchanges.
        room: Function that returns how many requests more a candidate may
            get.
    """
    arrivals = max(1.0, renewed_share * sum(c.load for c in candidates))
    free = [(c, left) for c in candidates if (left := room(c)) > 0.0]
    if not free:
        return None
    preferred = server_choice.preferred_server(
        [c.id for c, _ in free], prefix_hash
    )
    rows = []
    for candidate, left in free:
        speed = candidate.slots / candidate.slowdown
        ends = candidate.load * min(1.0, renewed_share / candidate.slowdown)
        cost = server_choice.cost(
            candidate, zone, prefix_hash, preferred, _no_random
        )
        rows.append((cost - ends / speed, speed, left + ends))
    level = _level(rows, arrivals)
    weights = [
        max(0.0, min((level - cost) * speed, most))
        for cost, speed, most in rows
    ]
    drawn = random() * sum(weights)
    for weight, (candidate, _) in zip(weights, free, strict=True):
        drawn -= weight
        if drawn < 0.0:
            return candidate
    # Only rounding errors lead here.
    cheapest = min(range(len(rows)), key=lambda i: rows[i][0])
    return free[cheapest][0]


def _no_random():
    return 0.0


def room(candidate, priority, target_s, service_s):
    """Return how many requests more a candidate may get.

    Args:
        candidate: The Candidate.
        priority: Priority of the request, 0 is the highest.
        target_s: Latency target of the request in seconds.
        service_s: Seconds that a request occupies a slot of a server whose
            slowdown is 1.
    """
    return (
        admission.load_limit(
            priority,
            candidate.slots,
            target_s,
            service_s * candidate.slowdown,
        )
        - candidate.load
    )


def _level(rows, amount):
    """Return the cost up to which servers can be filled with an amount.

    Args:
        rows: Cost and speed of each server, and a value that is not used; a
            request adds 1 / speed to the cost.
        amount: Number of requests to distribute.
    """
    speeds = costs = 0.0
    level = float('inf')
    for cost, speed, _ in sorted(rows):
        if cost >= level:
            break
        speeds += speed
        costs += cost * speed
        level = (amount + costs) / speeds
    return level
