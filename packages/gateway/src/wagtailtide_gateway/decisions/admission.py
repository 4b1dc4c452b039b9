"""Admission control: send a request, queue it here, or refuse it."""

import dataclasses
import enum

# Share of the latency target that a request may spend in a server's queue. The
# rest is for processing the prompt and for load data that is out of date.
QUEUE_TARGET_SHARE = 0.4

# Largest load of a server, as a share of its slots. Urgent requests may exceed
# the slots: a few queued requests keep the batch full until the instances
# learn of free slots.
MAX_UTILISATION_URGENT = 1.5
MAX_UTILISATION_OTHERS = 1.0

# Service times are measured in steps of a millisecond.
MIN_SERVICE_S = 0.001

# Share of the remaining time that a predicted wait may take. The rest is for
# running the request and for the error of the prediction.
MAX_WAIT_SHARE = 0.8

# Bounds of the Retry-After value of refused requests.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 8.0


class Verdict(enum.Enum):
    """What to do with a request now."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPool:
    """Combined capacity and load of the servers that can run a request.

    Attributes:
        slots: Requests that the servers run at once.
        load: Estimated number of requests in the servers.
        waiting_ahead: Requests that wait in this instance ahead of this one.
        instances: Number of instances that send requests to the servers.
        service_s: Seconds that a request occupies a slot.
        ready_in_s: Seconds until the first server can run the request, 0 if
            one can now.
        limited_per_s: Requests a second that the servers which state a limit
            take in addition. They are not counted in slots and load.
        limited_waiting: Requests of other instances that wait for these.
        others_ahead: Requests that wait at other instances ahead of this one,
            as reported; None if it is not known.
    """

    slots: float
    load: float
    waiting_ahead: int
    instances: int
    service_s: float
    ready_in_s: float = 0.0
    limited_per_s: float = 0.0
    limited_waiting: int = 0
    others_ahead: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An admission verdict and the predicted wait behind it.

    Attributes:
        verdict: What to do with the request.
        wait_s: Predicted wait in seconds.
        retry_after_s: Retry-After value in seconds, used for a refusal.
    """

    verdict: Verdict
    wait_s: float
    retry_after_s: float = 0.0


def load_limit(priority, slots, target_s, service_s):
    """Return the load above which a server gets no further request.

    The limit keeps queues in the servers short. If a model gets more requests
    than its copies can run, a longer queue does not raise the throughput and
    makes every request late.

    Args:
        priority: Priority of the request, 0 is the highest.
        slots: Slots of the server.
        target_s: Latency target of the request in seconds.
        service_s: Seconds that a request occupies a slot.
    """
    max_utilisation = (
        MAX_UTILISATION_URGENT if priority == 0 else MAX_UTILISATION_OTHERS
    )
    service_s = max(service_s, MIN_SERVICE_S)
    return slots * min(
        max_utilisation, 1.0 + QUEUE_TARGET_SHARE * target_s / service_s
    )


def predict_wait_s(pool):
    """Return how many seconds a request that arrives now would wait.

    A full pool finishes slots / service_s requests a second. What waits at
    the other instances is reported. If it is not known, each of them is
    assumed to have as many requests waiting as this one, unless all servers
    state limits: then the leader counts them.
    """
    starts_per_s = throughput(pool)
    if starts_per_s <= 0:
        return pool.ready_in_s
    if pool.slots > 0:
        backlog = max(0.0, pool.load - pool.slots)
        if pool.others_ahead is None:
            backlog += pool.waiting_ahead * pool.instances
        else:
            backlog += pool.waiting_ahead + pool.others_ahead
    else:
        backlog = 1 + pool.waiting_ahead + pool.limited_waiting
    return pool.ready_in_s + backlog / starts_per_s


def with_other_server(pool, ready_in_s):
    """Return the pool for a request that limited servers can run.

    Args:
        pool: Pool of the limited servers.
        ready_in_s: Seconds until a server without a limit can run it. If that
            is sooner, the request waits for this one.
    """
    if ready_in_s >= predict_wait_s(pool):
        return pool
    return dataclasses.replace(
        pool, limited_per_s=0.0, limited_waiting=0, ready_in_s=ready_in_s
    )


def throughput(pool):
    """Return how many requests a second the servers of a pool can start."""
    return pool.slots / max(pool.service_s, MIN_SERVICE_S) + pool.limited_per_s


def decide(pool, has_capacity, time_left_s):
    """Return the Decision for a request.

    Args:
        pool: Capacity and load of the servers that can run the request.
        has_capacity: Whether the chosen server is below its load limit.
        time_left_s: Seconds until the caller's deadline. With none left, a
            request is refused even if no wait is predicted, because it would
            check again at once, without end.
    """
    if has_capacity:
        return Decision(Verdict.SEND, 0.0)
    wait_s = predict_wait_s(pool)
    verdict = Verdict.REFUSE
    if time_left_s > 0.0 and wait_s <= time_left_s * MAX_WAIT_SHARE:
        verdict = Verdict.WAIT
    return Decision(verdict, wait_s, retry_after(wait_s))


def retry_after(wait_s):
    """Return the Retry-After value in seconds for a predicted wait."""
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
