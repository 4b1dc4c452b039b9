"""Whether a request is sent, waits at the instance or is refused at once."""

import dataclasses
import enum

# Part of a latency target that a request may spend in the queue of a server.
# The rest is for the prompt, and for a view of the load that is late.
QUEUE_SHARE = 0.4

# Load as a share of the slots up to which a request is sent at most. A few
# waiting requests keep a batch full while news of free slots travels.
MAX_FILL_URGENT = 1.5
MAX_FILL_OTHERS = 1.0

# Times in a slot are measured in steps of a millisecond.
SHORTEST_SERVICE_S = 0.001

# Part of the time left that a predicted wait may take. The rest is for
# running the request and for the error of the prediction.
WAIT_SHARE = 0.8

# Bounds of the time after which a refused caller is asked to come back.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 8.0


class Verdict(enum.Enum):
    """What becomes of a request now."""

    SEND = 'send'
    HOLD = 'hold'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Servers that can run a request, taken together.

    Attributes:
        slots: Their slots.
        load: Requests in them by estimate.
        waiting_ahead: Requests of this instance that wait before this one.
        instances: Instances that send to them.
        service_s: Time that a request takes in a slot.
        ready_in_s: Seconds until a first server can run it, 0 if one can.
    """

    slots: float
    load: float
    waiting_ahead: int
    instances: int
    service_s: float
    ready_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A verdict with the prediction that it rests on.

    Attributes:
        verdict: What to do.
        wait_s: Predicted wait in seconds.
        retry_after_s: When to come back, for a refusal.
    """

    verdict: Verdict
    wait_s: float
    retry_after_s: float = 0.0


def fill_limit(priority, slots, target_s, service_s):
    """Return the load up to which a server is sent a request.

    Answers the load of more requests than the copies of a model can run: a
    longer queue in the server runs none more, and makes all of them late.

    Args:
        priority: Rank of the request, 0 is first.
        slots: Slots of the server.
        target_s: Latency target of the request in seconds.
        service_s: Time that a request takes in a slot.
    """
    most = MAX_FILL_URGENT if priority == 0 else MAX_FILL_OTHERS
    service_s = max(service_s, SHORTEST_SERVICE_S)
    return slots * min(most, 1.0 + QUEUE_SHARE * target_s / service_s)


def predict_wait_s(pool):
    """Return how long a request that comes now would wait.

    The pool finishes slots / service_s requests a second while it is full.
    What waits at the other instances is taken to be like what waits here.
    """
    if pool.slots <= 0:
        return pool.ready_in_s
    excess = max(0.0, pool.load - pool.slots)
    excess += pool.waiting_ahead * pool.instances
    return pool.ready_in_s + excess * pool.service_s / pool.slots


def decide(pool, has_room, time_left_s):
    """Decide on a request.

    Args:
        pool: The servers that can run it.
        has_room: Whether one of them is below its fill limit and nothing
            more urgent waits.
        time_left_s: Seconds that the caller still waits.
    """
    if has_room:
        return Decision(Verdict.SEND, 0.0)
    wait_s = predict_wait_s(pool)
    verdict = Verdict.REFUSE
    if wait_s <= time_left_s * WAIT_SHARE:
        verdict = Verdict.HOLD
    return Decision(verdict, wait_s, retry_after(wait_s))


def retry_after(wait_s):
    """Return when a refused caller should come back, in seconds."""
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
