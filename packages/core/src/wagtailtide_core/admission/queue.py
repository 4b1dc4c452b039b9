"""Queue of the requests of one instance that wait for a backend server."""

import dataclasses

import sortedcontainers

from wagtailtide_core.admission import deadline
from wagtailtide_core.admission import lines
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds

CLASSES = tuple(schema.PriorityClass)

# Part of the dispatched tokens that a class gets while it waits, whatever the
# more urgent classes want.
GUARANTEED = {
    schema.PriorityClass.INTERACTIVE: 0.0,
    schema.PriorityClass.STANDARD: 0.10,
    schema.PriorityClass.BATCH: 0.05,
}

# Bounds the memory that one organisation's flood can take. A waiting request
# holds its body, usually a few kilobytes.
MAX_WAITING_OF_ORGANISATION = 2_000


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A request that asks for admission.

    Attributes:
        ticket_id: Unique id.
        organisation: Its organisation.
        priority_class: Its class.
        pool: What it competes for, usually a model version.
        tokens: Estimated tokens, more than 0.
        deadline: Monotonic time at which its answer must be whole.
        service_s: Expected seconds from admission to the whole answer.
        weight: Weight of its organisation.
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
    """An answer in place of admission.

    Attributes:
        kind: Kind of error.
        retry_after_s: Seconds after which a repetition may succeed.
        message: What was expected, what was got and what to do.
    """

    kind: kinds.ErrorKind
    retry_after_s: float
    message: str


@dataclasses.dataclass(frozen=True)
class GivenUp:
    """A request that waited and can no longer meet its deadline."""

    ticket: Ticket
    refusal: Refusal


class AdmissionQueue:
    """Decide which request runs next, and refuse what cannot be in time.

    Every ticket that `offer` took is given back exactly once: by `next`, by
    `expire` or by `cancel`.
    """

    def __init__(self):
        self._classes = {c: lines.ClassQueue() for c in CLASSES}
        self._times = deadline.ServiceTimes()
        self._waiting = {}
        self._running = {}
        self._by_start = sortedcontainers.SortedDict()
        self._given_up = []
        self._seq = 0

    def __len__(self):
        return len(self._waiting)

    def offer(self, ticket, now):
        """Let a request wait, or refuse it.

        Args:
            ticket: The Ticket.
            now: Monotonic time in seconds.

        Returns:
            A Refusal if it cannot meet its deadline or its organisation has
            too many requests waiting, else None.
        """
        queue = self._classes[ticket.priority_class]
        length = queue.length_of(ticket.pool, ticket.organisation)
        wait_s = self.estimate_wait_s(ticket)
        if length >= MAX_WAITING_OF_ORGANISATION:
            return Refusal(
                kinds.ErrorKind.OVERLOADED,
                deadline.retry_after_s(wait_s),
                f'expected at most {MAX_WAITING_OF_ORGANISATION} requests of '
                f'an organisation to wait for {ticket.pool}, got one more; '
                'come back later',
            )
        excess_s = now + wait_s - ticket.latest_start
        if excess_s > 0:
            return _too_late(ticket, excess_s, now)
        self._seq += 1
        place = (ticket.latest_start, self._seq)
        self._waiting[ticket.ticket_id] = place
        self._by_start[place] = ticket
        queue.add(ticket, self._seq)
        return None

    def estimate_wait_s(self, ticket):
        """Estimate how long a request would wait if it was offered now."""
        queue = self._classes[ticket.priority_class]
        pool = ticket.pool
        before = CLASSES[: CLASSES.index(ticket.priority_class)]
        weights = queue.shares.waiting_weights(pool)
        weights[ticket.organisation] = ticket.weight
        backlog = deadline.Backlog(
            before_tokens=sum(self._classes[c].tokens(pool) for c in before),
            class_tokens=queue.tokens(pool),
            own_tokens=queue.own_tokens(pool, ticket.organisation),
            share=ticket.weight / sum(weights.values()),
            in_service_tokens=sum(
                q.shares.in_service(pool) for q in self._classes.values()
            ),
            service_s=self._times.expected_s(pool, ticket.service_s),
            guaranteed=GUARANTEED[ticket.priority_class],
        )
        return deadline.estimate_wait_s(backlog)

    def next(self, has_capacity, now):
        """Take the request that runs next.

        Args:
            has_capacity: Function that tells of a Ticket whether a server
                can take it now. Called at most once for each class and pool.
            now: Monotonic time in seconds.

        Returns:
            The Ticket, or None if none can run now.
        """
        self._cull(now)
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
        line = queue.lines[chosen.pool][chosen.organisation]
        _, ticket = next(iter(line.values()))
        self._credit(ready, cls, ticket.tokens)
        queue.shares.start(ticket.organisation, ticket.pool, ticket.tokens)
        self._remove(ticket)
        queue.record_served(ticket.pool)
        self._running[ticket.ticket_id] = now
        return ticket

    def _choose_class(self, ready):
        for cls, candidates in ready.items():
            needed = min(c.tokens for c in candidates)
            if GUARANTEED[cls] and self._classes[cls].credit >= needed:
                return cls
        return next(iter(ready))

    def _credit(self, ready, chosen, tokens):
        """Move tokens between the classes' accounts.

        A class that was passed over earns its part of what was dispatched. A
        class that went before a more urgent one pays for it.
        """
        if chosen is not next(iter(ready)):
            self._classes[chosen].credit -= tokens
        for cls, candidates in ready.items():
            if cls is not chosen:
                queue = self._classes[cls]
                most = max(c.tokens for c in candidates)
                earned = queue.credit + GUARANTEED[cls] * tokens
                queue.credit = min(earned, most)

    def finish(self, ticket, tokens, now):
        """Note that an admitted request ended.

        Args:
            ticket: The Ticket that `next` returned.
            tokens: Tokens that it really took.
            now: Monotonic time in seconds.
        """
        started = self._running.pop(ticket.ticket_id)
        self._times.record(ticket.pool, now - started)
        self._classes[ticket.priority_class].shares.finish(
            ticket.organisation, ticket.pool, ticket.tokens, tokens
        )

    def cancel(self, ticket):
        """Remove a waiting request whose caller has gone."""
        if ticket.ticket_id in self._waiting:
            self._remove(ticket)

    def expire(self, now):
        """Take the requests that can no longer meet their deadline.

        Returns:
            A list of GivenUp; each needs an answer at once.
        """
        self._cull(now)
        given_up, self._given_up = self._given_up, []
        return given_up

    def next_expiry(self):
        """Return when `expire` must be called next, or None."""
        if self._given_up:
            return float('-inf')
        return self._by_start.peekitem(0)[0][0] if self._by_start else None

    def _cull(self, now):
        while self._by_start:
            (latest_start, _), ticket = self._by_start.peekitem(0)
            if latest_start >= now:
                return
            self._remove(ticket)
            wait_s = self.estimate_wait_s(ticket)
            self._given_up.append(
                GivenUp(ticket, _too_late(ticket, wait_s, now))
            )

    def _remove(self, ticket):
        del self._by_start[self._waiting.pop(ticket.ticket_id)]
        self._classes[ticket.priority_class].remove(ticket)


def _too_late(ticket, excess_s, now):
    left_s = max(ticket.deadline - now, 0.0)
    retry_s = deadline.retry_after_s(excess_s)
    return Refusal(
        kinds.ErrorKind.DEADLINE_UNREACHABLE,
        retry_s,
        f'expected a whole answer within the deadline, {left_s:.1f} s from '
        f'now; the wait for {ticket.pool} is too long; come back after '
        f'{retry_s:.0f} s',
    )
