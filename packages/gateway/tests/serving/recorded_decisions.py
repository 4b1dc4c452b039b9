"""Decisions about waiting requests over a grid of cases, as text.

The digest of the text was recorded with build 37d59d0, before requests could
be scheduled by shares.
"""

import hashlib
import itertools
import random

from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import retry_schedule
from wagtailtide_gateway.decisions import server_choice
from wagtailtide_gateway.serving import wait_queue

DIGEST = '6d1591c1d7c02f1ccda128319b8996cc5d0fec5959c8dcb3571beffd7c6dbf7a'


def admission_lines():
    """Yield the admission decision for each pool of a grid."""
    grid = itertools.product(
        (0.0, 12.0, 96.0),
        (0.0, 12.0, 140.5),
        (0, 1, 25),
        (1, 12, 124),
        (0.0, 0.257, 2.5),
        (0.0, 3.5),
        (0.0, 7.0),
        (0.257, 4.0, 12.0),
    )
    for slots, load, ahead, instances, service_s, ready, per_s, left in grid:
        pool = admission.ServerPool(
            slots, load, ahead, instances, service_s, ready, per_s, ahead
        )
        pool = admission.with_other_server(pool, 1.5)
        for has_capacity in (False, True):
            found = admission.decide(pool, has_capacity, left)
            yield f'{found.verdict.value} {found.wait_s:.9f} ' + (
                f'{found.retry_after_s:.9f}'
            )


def server_lines():
    """Yield the chosen server of random candidates."""
    rng = random.Random(5)
    for _ in range(2_000):
        candidates = [
            server_choice.Candidate(
                id=f's{n}',
                zone=rng.choice('ab'),
                slots=12,
                load=rng.randrange(16),
                failure_rate=rng.choice((0.0, 0.0, 0.2)),
            )
            for n in range(rng.randrange(8))
        ]
        prefix_hash = rng.choice((None, rng.getrandbits(32)))
        best = server_choice.choose_server(
            candidates, 'a', prefix_hash, rng.random
        )
        yield best.id if best else '-'


def queue_lines():
    """Yield the number of requests ahead in a queue that changes."""
    rng = random.Random(6)
    queues, waiters = wait_queue.WaitQueues(), []
    for _ in range(1_000):
        if waiters and rng.random() < 0.4:
            waiter = waiters.pop(rng.randrange(len(waiters)))
            queues.remove('engines', waiter)
        waiter = queues.add('engines', rng.choice('ab'), rng.randrange(3))
        waiters.append(waiter)
        chosen = rng.choice(waiters)
        yield str(queues.ahead('engines', 'a', 1, None))
        yield str(
            queues.ahead('engines', chosen.model, chosen.priority, chosen)
        )


def retry_lines():
    """Yield the Retry-After values of rejected requests."""
    rng = random.Random(7)
    schedule, now = retry_schedule.RetrySchedule(), 0.0
    for _ in range(1_000):
        now += rng.expovariate(4.0)
        retry_s = schedule.assign(
            rng.choice('ab'), now + rng.random() * 3.0, 0.9, now
        )
        yield f'{retry_s:.9f}'


def digest():
    """Return the digest of all decisions."""
    lines = itertools.chain(
        admission_lines(), server_lines(), queue_lines(), retry_lines()
    )
    return hashlib.sha256('\n'.join(lines).encode()).hexdigest()
