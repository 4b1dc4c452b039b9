"""Queues of requests that wait in the gateway for a backend server."""

import bisect
import itertools

import anyio


class WaitQueues:
    """Waiting requests by service, the most urgent first.

    During a burst on a model with few copies, requests that no engine can
    start soon wait here and not in an engine's queue, so that they can still
    go to another engine.
    """

    def __init__(self):
        self._queues = {}
        self._arrival_numbers = itertools.count()

    def add(self, service, model, priority):
        """Add a request to the queue of a service; return its Waiter."""
        waiter = Waiter(model, priority, next(self._arrival_numbers))
        bisect.insort(self._queues.setdefault(service, []), waiter)
        return waiter

    def remove(self, service, waiter):
        """Remove a Waiter from the queue of its service."""
        queue = self._queues[service]
        queue.remove(waiter)
        if not queue:
            del self._queues[service]

    def ahead(self, service, model, priority, waiter=None):
        """Return how many requests for a model are ahead of a request.

        Args:
            service: Name of the service.
            model: Name of the model, or None.
            priority: Priority of the request, 0 is the most urgent.
            waiter: Its Waiter, None if it is not queued yet.
        """
        count = 0
        for other in self._queues.get(service, ()):
            if other is waiter:
                break
            if other.priority > priority:
                break
            if other.model == model:
                count += 1
        return count

    def wake(self, service=None):
        """Make waiting requests check again for a server.

        Args:
            service: Name of the service, None for all services.
        """
        names = list(self._queues) if service is None else [service]
        for name in names:
            for waiter in self._queues.get(name, ()):
                waiter.wake_event.set()

    def has_waiting(self, service):
        """Return whether requests for a service wait."""
        return bool(self._queues.get(service))

    @property
    def count(self):
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())


class Waiter:
    """A queued request; sorts by priority, then by arrival.

    Attributes:
        model: Name of the model that it waits for, or None.
        priority: Priority, 0 is the most urgent.
        wake_event: Event that is set when it should check for a server.
        limit: ServerLimit of which it waits for a permit, or None.
    """

    def __init__(self, model, priority, number):
        self.model = model
        self.priority = priority
        self._arrival_number = number
        self.wake_event = anyio.Event()
        self.limit = None

    def __lt__(self, other):
        return (self.priority, self._arrival_number) < (
            other.priority,
            other._arrival_number,
        )

    def wait_for_permit(self, limit):
        """Set the ServerLimit of which it waits for a permit, or None."""
        for old_or_new, change in ((self.limit, -1), (limit, 1)):
            if old_or_new is not None:
                old_or_new.waiting += change
        self.limit = limit

    async def wait(self, timeout_s):
        """Wait until woken, for at most a time in seconds."""
        with anyio.move_on_after(timeout_s):
            await self.wake_event.wait()
        self.wake_event = anyio.Event()
