"""Queue of the requests of an instance that wait for a backend server."""

import dataclasses

import sortedcontainers

from wagtailtide_core.admission import class_queue
from wagtailtide_core.admission import deadline
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds

CLASSES = tuple(schema.PriorityClass)

# Share of the dispatched tokens that a class gets while it has requests
# waiting, regardless of the demand of more urgent classes.
GUARANTEED_SHARE = {
    schema.PriorityClass.INTERACTIVE: 0.0,
    schema.PriorityClass.STANDARD: 0.10,
    schema.PriorityClass.BATCH: 0.05,
}

# Limits the memory that the requests of one organisation can occupy. A waiting
# request holds its body, usually a few kilobytes.
MAX_WAITING_PER_ORGANISATION = 2_000


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A request for admission.

    Attributes:
        ticket_id: Unique id.
        organisation: Name of the organisation.
        priority_class: PriorityClass of the request.
        pool: Resource that requests compete for, usually a model version.
        tokens: Estimated tokens, more than 0.
        deadline: Monotonic time by which the response must be complete.
        service_s: Expected seconds from admission to the complete response.
        weight: Weight of the organisation.
    """

    ticket_id: str
    organisation: str
    priority_class: schema.PriorityClass
    pool: str
    tokens: float
    deadline: float
    service_s: float = 0.0
    weight: float = 1.0

    @property
    def latest_start(self):
        """Monotonic time after which the deadline cannot be met."""
        return self.deadline - self.service_s


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Reason why a request is not admitted.

    Attributes:
        kind: ErrorKind of the response.
        retry_after_s: Seconds after which a retry may succeed.
        message: What was expected, what was got and what to do.
    """

    kind: kinds.ErrorKind
    retry_after_s: float
    message: str


@dataclasses.dataclass(frozen=True)
class ExpiredTicket:
    """A ticket that waited and can no longer meet its deadline."""

    ticket: Ticket
    refusal: Refusal


class AdmissionQueue:
    """Chooses the request that runs next and refuses those that are too late.

    Every ticket that `offer` accepted leaves the queue exactly once: by
    `next`, by `expire` or by `cancel`.
    """

    def __init__(self):
        self._classes = {c: class_queue.ClassQueue() for c in CLASSES}
        self._service_times = deadline.ServiceTimes()
        self._waiting = {}
        self._running = {}
        self._by_latest_start = sortedcontainers.SortedDict()
        self._expired = []
        self._seq = 0

    def __len__(self):
        return len(self._waiting)

    def offer(self, ticket, now):
        """Enqueue a request, or refuse it.

        Args:
            ticket: The Ticket.
            now: Monotonic time in seconds.

        Returns:
            A Refusal if it cannot meet its deadline or its organisation has
            too many requests waiting, else None.
        """
        queue = self._classes[ticket.priority_class]
        waiting = queue.length(ticket.pool, ticket.organisation)
        wait_s = self.estimate_wait_s(ticket)
        if waiting >= MAX_WAITING_PER_ORGANISATION:
            return Refusal(
                kinds.ErrorKind.OVERLOADED,
                deadline.retry_after_s(wait_s),
                f'expected at most {MAX_WAITING_PER_ORGANISATION} waiting '
                f'requests of an organisation for {ticket.pool}, got one '
                'more; retry later',
            )
        excess_s = now + wait_s - ticket.latest_start
        if excess_s > 0:
            return _deadline_refusal(ticket, excess_s, now)
        self._seq += 1
        position = (ticket.latest_start, self._seq)
        self._waiting[ticket.ticket_id] = position
        self._by_latest_start[position] = ticket
        queue.add(ticket, self._seq)
        return None

    def estimate_wait_s(self, ticket):
        """Estimate the seconds that a request would wait if offered now."""
        queue = self._classes[ticket.priority_class]
        pool = ticket.pool
        more_urgent = CLASSES[: CLASSES.index(ticket.priority_class)]
        weights = queue.shares.waiting_weights(pool)
        weights[ticket.organisation] = ticket.weight
        backlog = deadline.Backlog(
            more_urgent_tokens=sum(
                self._classes[c].tokens(pool) for c in more_urgent
            ),
            class_tokens=queue.tokens(pool),
            organisation_tokens=queue.organisation_tokens(
                pool, ticket.organisation
            ),
            share=ticket.weight / sum(weights.values()),
            in_service_tokens=sum(
                q.shares.in_service(pool) for q in self._classes.values()
            ),
            service_s=self._service_times.expected_s(pool, ticket.service_s),
            guaranteed_share=GUARANTEED_SHARE[ticket.priority_class],
        )
        return deadline.estimate_wait_s(backlog)

    def next(self, has_capacity, now):
        """Remove and return the request that runs next.

        Args:
            has_capacity: Function that tells of a Ticket whether a server
                can take it now. Called at most once for each class and pool.
            now: Monotonic time in seconds.

        Returns:
            The Ticket, or None if none can run now.
        """
        self._remove_expired(now)
        ready = {}
        for cls, queue in self._classes.items():
            candidates = queue.candidates(has_capacity)
            if candidates:
                ready[cls] = candidates
        if not ready:
            return None
        cls = self._choose_class(ready)
        queue = self._classes[cls]
        chosen = queue.shares.choose(ready[cls])
        organisation_queue = queue.queues[chosen.pool][chosen.organisation]
        _, ticket = next(iter(organisation_queue.values()))
        self._update_credits(ready, cls, ticket.tokens)
        queue.shares.start(ticket.organisation, ticket.pool, ticket.tokens)
        self._remove(ticket)
        queue.record_served(ticket.pool)
        self._running[ticket.ticket_id] = now
        return ticket

    def _choose_class(self, ready):
        for cls, candidates in ready.items():
            needed = min(c.tokens for c in candidates)
            if GUARANTEED_SHARE[cls] and self._classes[cls].credit >= needed:
                return cls
        return next(iter(ready))

    def _update_credits(self, ready, chosen, tokens):
        """Update the classes' credits after a dispatch.

        Each ready class that was not chosen earns its guaranteed share of the
        dispatched tokens. A class that was chosen before a more urgent one
        pays with its credit.
        """
        if chosen is not next(iter(ready)):
            self._classes[chosen].credit -= tokens
        for cls, candidates in ready.items():
            if cls is not chosen:
                queue = self._classes[cls]
                max_credit = max(c.tokens for c in candidates)
                earned = queue.credit + GUARANTEED_SHARE[cls] * tokens
                queue.credit = min(earned, max_credit)

    def finish(self, ticket, tokens, now):
        """Record that an admitted request ended.

        Args:
            ticket: The Ticket that `next` returned.
            tokens: Tokens that the request used.
            now: Monotonic time in seconds.
        """
        started = self._running.pop(ticket.ticket_id)
        self._service_times.record(ticket.pool, now - started)
        self._classes[ticket.priority_class].shares.finish(
            ticket.organisation, ticket.pool, ticket.tokens, tokens
        )

    def cancel(self, ticket):
        """Remove a waiting request whose caller has disconnected."""
        if ticket.ticket_id in self._waiting:
            self._remove(ticket)

    def expire(self, now):
        """Remove the requests that can no longer meet their deadline.

        Returns:
            List of ExpiredTickets; each must be answered immediately.
        """
        self._remove_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def next_expiry(self):
        """Return the time at which `expire` must be called next, or None."""
        if self._expired:
            return float('-inf')
        return (
            self._by_latest_start.peekitem(0)[0][0]
            if self._by_latest_start
            else None
        )

    def _remove_expired(self, now):
        while self._by_latest_start:
            (latest_start, _), ticket = self._by_latest_start.peekitem(0)
            if latest_start >= now:
                return
            self._remove(ticket)
            wait_s = self.estimate_wait_s(ticket)
            self._expired.append(
                ExpiredTicket(ticket, _deadline_refusal(ticket, wait_s, now))
            )

    def _remove(self, ticket):
        del self._by_latest_start[self._waiting.pop(ticket.ticket_id)]
        self._classes[ticket.priority_class].remove(ticket)


def _deadline_refusal(ticket, excess_s, now):
    left_s = max(ticket.deadline - now, 0.0)
    retry_s = deadline.retry_after_s(excess_s)
    return Refusal(
        kinds.ErrorKind.DEADLINE_UNREACHABLE,
        retry_s,
        'expected a complete response within the deadline, '
        f'{left_s:.1f} s from now, but the wait for {ticket.pool} is too '
        f'long; retry after {retry_s:.0f} s',
    )
