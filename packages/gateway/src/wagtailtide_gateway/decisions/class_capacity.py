"""How much of a server a request may use beside those of other priorities.

Engines admit more urgent requests first and preempt less urgent ones, so only
requests that are at least as urgent delay a request there.
"""

import dataclasses

# Largest number of requests in a server, as a multiple of its slots. Less
# urgent requests fill the slots at most, and urgent ones come on top of them
# up to their own limit; the rest is for load data that is out of date.
MAX_TOTAL = 2.5

# What less urgent requests keep, relative to their part of all requests. They
# have to be served at least a quarter as often as all of them; the rest is for
# urgent requests beyond the limit while load data is out of date.
KEPT_RATIO = 0.35

# Part of a server's room that is that of all servers, when its load has
# changed entirely since it was reported. The rest is for differences between
# servers that last, as between those with busy and idle models.
SHARED_PART = 0.75

# Seconds in which what waits counts as having arrived, where that is more than
# what is known to arrive. Less urgent requests wait for several seconds.
WAITING_PERIOD_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests of one priority for a model, at all instances.

    Attributes:
        arrivals_per_s: Their arrivals a second.
        waiting: How many of them wait in the instances.
        service_s: Seconds that one occupies a slot.
    """

    arrivals_per_s: float
    waiting: float
    service_s: float = 1.0

    @property
    def requests(self):
        """Requests of a second, those that came earlier and wait included."""
        return max(self.arrivals_per_s, self.waiting / WAITING_PERIOD_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """What requests of one priority may use.

    Attributes:
        kept: Part of the slots that is kept for less urgent requests.
        floor: Part of the slots that these requests and the less urgent ones
            may use in any case.
        ahead_slots: Slots that more urgent requests need, by their arrivals.
        ahead_waiting: More urgent requests that wait in the instances.
        own_per_s: Arrivals a second of requests of this priority.
        own_slots: Slots that requests of this priority need, by arrivals.
        own_waiting: Requests of this priority that wait in the instances.
        is_mixed: Whether there are requests of another priority.
    """

    kept: float = 0.0
    floor: float = 0.0
    ahead_slots: float = 0.0
    ahead_waiting: float = 0.0
    own_per_s: float = 0.0
    own_slots: float = 0.0
    own_waiting: float = 0.0
    is_mixed: bool = False


def share_of(demands, priority):
    """Return the Share of the requests of a priority.

    Args:
        demands: Demand by priority.
        priority: The priority, 0 is the most urgent.
    """
    total = sum(demand.requests for demand in demands.values())
    if total <= 0.0:
        return Share()
    less_urgent = slots = waiting = 0.0
    same_or_less = 0.0
    for other, demand in demands.items():
        if other > priority:
            less_urgent += demand.requests
        elif other < priority:
            slots += demand.arrivals_per_s * demand.service_s
            waiting += demand.waiting
        if other >= priority:
            same_or_less += demand.requests
    own = demands.get(priority, Demand(0.0, 0.0))
    return Share(
        kept=KEPT_RATIO * less_urgent / total,
        floor=KEPT_RATIO * same_or_less / total,
        ahead_slots=slots,
        ahead_waiting=waiting,
        own_per_s=own.arrivals_per_s,
        own_slots=own.arrivals_per_s * own.service_s,
        own_waiting=own.waiting,
        is_mixed=any(other != priority for other in demands),
    )


def in_force(share, slots):
    """Return the Share with what is kept only if it would be used otherwise.

    While more urgent requests need less than the rest of the slots, less
    urgent ones get their part in any case. The load of a single server may
    exceed the rest at times.

    Args:
        share: The Share of the request.
        slots: Slots of all servers that can run the request.
    """
    if share.ahead_slots + share.own_slots > slots * (1.0 - share.kept):
        return share
    return dataclasses.replace(share, kept=0.0)


def reserved_part(share, slots, ahead):
    """Return the part of the slots that more urgent requests will need.

    Those in the servers keep their slots, as others of their kind replace
    them. What arrives beyond that, and what waits, needs further slots.

    Args:
        share: The Share of the request.
        slots: Slots of all servers that can run the request.
        ahead: More urgent requests in these servers.
    """
    if slots <= 0.0:
        return 0.0
    arriving = max(0.0, share.ahead_slots - ahead)
    return (arriving + share.ahead_waiting) / slots


def room(candidate, limit, share, reserved):
    """Return how many requests more a server may get.

    Args:
        candidate: The server_choice.Candidate. Its load is of the requests
            that are as urgent as the request or more urgent.
        limit: Load above which it would get none if all were as urgent.
        share: The Share of the request.
        reserved: Part of the slots that more urgent requests will need.
    """
    slots = candidate.slots
    if share.kept:
        limit = min(limit, slots * (1.0 - share.kept))
    left = limit - candidate.load - reserved * slots
    total = candidate.load + candidate.less_urgent
    if candidate.ahead or reserved:
        in_any_case = share.floor * slots - (total - candidate.ahead)
        left = max(left, in_any_case)
    return min(left, MAX_TOTAL * slots - total)


def rooms_until_exchange(candidates, rooms, renewed):
    """Return how many requests more each server may get by the next exchange.

    If all instances avoided the servers that seem full, the others would get
    all requests until then. Of the room of a server, a part is therefore that
    of the servers on average. Requests that end meanwhile make room for others
    of their class.

    Args:
        candidates: The server_choice.Candidate objects of the servers.
        rooms: Room of each by the latest loads.
        renewed: Age of the loads as a multiple of the time that a request
            occupies a slot.
    """
    if not rooms:
        return []
    mean = sum(rooms) / len(rooms)
    part = SHARED_PART * min(1.0, renewed)
    found = []
    for candidate, room_ in zip(candidates, rooms, strict=True):
        own = candidate.load - candidate.ahead
        running = min(own, max(0.0, candidate.slots - candidate.ahead))
        found.append(room_ + part * (mean - room_) + renewed * running)
    return found


def admitted_part(share, rooms, age_s):
    """Return the part of the requests of a class that may be sent, 0 to 1.

    Until they know of each other's requests, all instances see the same room.
    What they send together stays within it.

    Args:
        share: The Share of the class.
        rooms: Room of each server by the next exchange.
        age_s: Age of the loads in seconds.
    """
    wanted = share.own_waiting + share.own_per_s * age_s
    if wanted <= 1.0:
        return 1.0
    return min(1.0, sum(max(0.0, left) for left in rooms) / wanted)


def class_pool(pool, share, ahead):
    """Return the admission.ServerPool that a class of requests has.

    Args:
        pool: Pool whose load is of the requests that are as urgent or more.
        share: The Share of the class.
        ahead: More urgent requests in the servers.
    """
    slots = pool.slots
    left = min(slots * (1.0 - share.kept), slots - ahead)
    floor = slots * share.floor
    if share.ahead_waiting >= 1.0:
        # The more urgent ones take all but what is kept for the class.
        left = floor
    left = max(left, floor)
    return dataclasses.replace(
        pool,
        slots=left,
        load=max(0.0, pool.load - ahead),
        not_ahead=share.ahead_waiting,
    )
