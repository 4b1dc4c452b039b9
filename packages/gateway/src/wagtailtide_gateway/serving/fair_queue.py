"""Queues of waiting requests in the order of their organisations' shares."""

import bisect
import dataclasses

import anyio

from wagtailtide_gateway.serving import wait_queue


class FairWaiter(wait_queue.Waiter):
    """A queued request.

    Attributes:
        organisation: Name of its organisation, '' without one.
        needs: What decides which servers can run it, apart from its model.
        late_at: Time in seconds after which its response is late.
    """

    def __init__(self, model, ticket, number):
        super().__init__(model, ticket.priority, number)
        self.organisation = ticket.organisation
        self.needs = ticket.needs
        self.late_at = ticket.late_at
        self.arrival = number


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """What decides the place of a request in the order.

    Attributes:
        priority: Priority, 0 is the most urgent.
        organisation: Name of its organisation, '' without one.
        needs: What decides which servers can run it, apart from its model.
        late_at: Time in seconds after which its response is late.
    """

    priority: int
    organisation: str
    needs: tuple
    late_at: float


@dataclasses.dataclass(slots=True)
class _Group:
    """Waiting requests for one model.

    Attributes:
        queues: Lists of waiters in order of arrival, by priority,
            organisation and needs.
        failed: Priorities and needs for which no server was free since the
            last wake.
    """

    queues: dict = dataclasses.field(default_factory=dict)
    failed: set = dataclasses.field(default_factory=set)


class FairQueues(wait_queue.WaitQueues):
    """Waiting requests that check for a server in order, one after another.

    Only the first request for a model is woken. When it has a server, or has
    found none, the next one that may differ in its result is woken.

    Args:
        usage: Function that returns the recent work of an organisation
            relative to its weight.
    """

    def __init__(self, usage):
        super().__init__()
        self._usage = usage
        self._groups = {}

    def add_ticket(self, service, model, ticket):
        """Queue a request; return its FairWaiter."""
        waiter = FairWaiter(model, ticket, next(self._arrival_numbers))
        bisect.insort(self._queues.setdefault(service, []), waiter)
        group = self._groups.setdefault((service, model), _Group())
        queue = group.queues.setdefault(_queue_key(waiter), [])
        bisect.insort(queue, waiter, key=lambda w: w.arrival)
        return waiter

    def remove(self, service, waiter):
        """Remove a waiter; the next one checks for a server."""
        super().remove(service, waiter)
        group = self._groups[service, waiter.model]
        queue = group.queues[_queue_key(waiter)]
        queue.remove(waiter)
        if not queue:
            del group.queues[_queue_key(waiter)]
        if not group.queues:
            del self._groups[service, waiter.model]
        else:
            self._wake_first(group)

    def wake(self, service=None):
        """Make waiting requests check again, the first of each model."""
        for (name, _), group in self._groups.items():
            if service in (None, name):
                group.failed.clear()
                self._wake_first(group)

    def may_take(self, service, model, ticket, waiter=None):
        """Return whether no other waiting request goes first.

        One that found no free server since the last wake does not count.

        Args:
            service: Name of the service.
            model: Name of the model, or None.
            ticket: Ticket of the request.
            waiter: Its waiter, None if it is not queued.
        """
        group = self._groups.get((service, model))
        if group is None:
            return True
        now = anyio.current_time()
        place = self._place(ticket, now)
        for (priority, _, needs), queue in group.queues.items():
            if (priority, needs) in group.failed:
                continue
            first = _first(queue, now)
            if first is waiter:
                continue
            if self._precedes(first, place, waiter, now):
                return False
        return True

    def record_failure(self, service, waiter):
        """Record that a waiter in its turn found no free server."""
        group = self._groups[service, waiter.model]
        group.failed.add((waiter.priority, waiter.needs))
        self._wake_first(group)

    def wake_first(self, service, model):
        """Make the first request for a model check that has not failed."""
        self._wake_first(self._groups[service, model])

    def ahead_of(self, service, model, ticket, waiter=None):
        """Return how many waiting requests for a model go before one."""
        group = self._groups.get((service, model))
        if group is None:
            return 0
        own_usage = self._usage(ticket.organisation)
        count = 0
        for (priority, name, _), queue in group.queues.items():
            if priority < ticket.priority:
                count += len(queue)
            elif priority > ticket.priority:
                continue
            elif name == ticket.organisation:
                count += (
                    len(queue)
                    if waiter is None
                    else bisect.bisect_left(
                        queue, waiter.arrival, key=lambda w: w.arrival
                    )
                )
            elif self._usage(name) <= own_usage:
                count += len(queue)
        return count

    def _wake_first(self, group):
        now = anyio.current_time()
        waiting = [
            _first(queue, now)
            for (priority, _, needs), queue in group.queues.items()
            if (priority, needs) not in group.failed
        ]
        if waiting:
            first = min(
                waiting, key=lambda w: (*self._place(w, now), w.arrival)
            )
            first.wake_event.set()

    def _place(self, ticket, now):
        usage = self._usage(ticket.organisation)
        return ticket.priority, usage, now > ticket.late_at

    def _precedes(self, first, place, waiter, now):
        first_place = self._place(first, now)
        if first_place != place or waiter is None:
            return first_place <= place
        return first.arrival < waiter.arrival


def _queue_key(waiter):
    return waiter.priority, waiter.organisation, waiter.needs


def _first(queue, now):
    """Return the first waiter that is not late yet, else the first."""
    return next((w for w in queue if now <= w.late_at), queue[0])
