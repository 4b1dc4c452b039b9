"""Exchange of reservations of engine memory.

An instance asks for them in its reports; the leader answers in its updates.
"""

import collections
import dataclasses
import itertools

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.decisions import engine_memory
from wagtailtide_gateway.decisions import memory_reservations
from wagtailtide_gateway.decisions import pace

# Requests at the others count here after this many intervals at most: the
# report waits for up to one, and so does the update.
INTERVALS_UNTIL_KNOWN = 2.0

# Requests and servers of a request in one report; the rest is asked for later.
MAX_REQUESTS = 50
MAX_SERVERS = 8

_decode_requests = fields.sequence(
    fields.row(
        memory_reservations.Request,
        fields.integer,
        fields.text,
        fields.integer,
        fields.integer,
        fields.number,
        fields.sequence(fields.text),
    )
)
_decode_update = fields.row(
    lambda *row: row,
    fields.boolean,
    fields.sequence(fields.row(lambda *row: row, fields.integer, fields.text)),
)


@dataclasses.dataclass(slots=True)
class _Asked:
    """A request of this instance that needs a reservation.

    Attributes:
        request: The Request for the leader.
        server_id: Id of the server in which memory is reserved, or None.
        process: Id of its process.
    """

    request: memory_reservations.Request
    server_id: str | None = None
    process: object = None


class Reservations:
    """Reservations of the requests of this instance.

    Reserved tokens count as held from the update that grants them to the
    start of the request, which holds them from then on.

    Args:
        held: HeldTokens of the instance.
        process_of: Function from the id of a server to the id of its process,
            None if the instance does not know the server.
        wake: Function that makes the waiting requests of a service check
            again for a server.
    """

    def __init__(self, held, process_of, wake):
        self._held = held
        self._process_of = process_of
        self._wake = wake
        self._asked = {}
        self._numbers = itertools.count()
        self._available_until = float('-inf')

    def are_available(self, now):
        """Return whether the leader grants reservations, as far as known."""
        return now < self._available_until

    @property
    def awaited(self):
        """Number of requests that wait for a reservation."""
        return sum(a.server_id is None for a in self._asked.values())

    def server_id(self, job):
        """Return the id of the server that has memory reserved, or None."""
        asked = self._asked.get(job.reservation)
        if asked is None or asked.server_id is None:
            return None
        if self._process_of(asked.server_id) != asked.process:
            self._give_back(asked)
        return asked.server_id

    def is_awaited(self, job):
        """Return whether a request waits for a reservation."""
        asked = self._asked.get(job.reservation)
        return asked is not None and asked.server_id is None

    def ask(self, job, request):
        """Ask for a reservation with the next report.

        One that the request has in another server is given back.

        Args:
            job: The Job.
            request: Function from a number to its Request.
        """
        self.withdraw(job)
        if job.reservation is None:
            job.reservation = next(self._numbers)
        asked = _Asked(request(job.reservation))
        self._asked[job.reservation] = asked

    def withdraw(self, job):
        """Give back what a request has reserved, and ask for no more."""
        asked = self._asked.pop(job.reservation, None)
        if asked is not None:
            self._give_back(asked)

    def _give_back(self, asked):
        if asked.server_id is not None:
            self._held.add(asked.process, -asked.request.tokens, True)
            asked.server_id = asked.process = None

    def make_report(self):
        """Return the requests that have no reservation yet."""
        waiting = (
            a.request for a in self._asked.values() if a.server_id is None
        )
        return [
            [
                request.number,
                request.service,
                request.tokens,
                request.capacity,
                request.usual_tokens,
                list(request.server_ids),
            ]
            for request in itertools.islice(waiting, MAX_REQUESTS)
        ]

    def apply(self, value, now):
        """Apply the leader's value.

        Args:
            value: The value of the section, None if the update has none.
            now: Time in seconds at which the report was made.

        Raises:
            BadMessage, TypeError, ValueError: It is malformed.
        """
        if value is None:
            self._available_until = float('-inf')
            return
        is_available, granted = _decode_update(value)
        self._available_until = float('-inf')
        if is_available:
            self._available_until = now + engine_memory.MAX_AGE_S
        services = set()
        for number, server_id in granted:
            asked = self._asked.get(number)
            process = self._process_of(server_id)
            # The others were given back, or are of an unknown server.
            if asked is None or asked.server_id or process is None:
                continue
            asked.server_id, asked.process = server_id, process
            self._held.add(process, asked.request.tokens, True)
            services.add(asked.request.service)
        for service in services:
            self._wake(service)


class LeaderReservations:
    """Reservations of all instances, on the leader.

    Args:
        servers: ServerView of the leader.
        reports: MemoryReports, the tokens that instances hold and want.
        earlier_count: Function that returns the number of instances in the
            last complete sums of this or another leader, 0 if not known.
    """

    def __init__(self, servers, reports, earlier_count):
        self._servers = servers
        self._reports = reports
        self._earlier_count = earlier_count
        self.start_term()

    def start_term(self):
        """Forget what an earlier term collected."""
        self._ledger = memory_reservations.Ledger()
        self._requests = {}

    def record_report(self, instance):
        """Note that an instance has reported the tokens that it holds."""
        self._ledger.record_report(instance)

    def receive(self, instance, value, now):
        """Take the requests of an instance.

        Raises:
            BadMessage, TypeError, ValueError: They are malformed.
        """
        requests = _decode_requests(value)
        if any(r.tokens < 0 or r.usual_tokens < 0.0 for r in requests):
            raise ValueError('expected tokens of at least 0')
        self._requests[instance] = requests

    def make_update(self, instance, now):
        """Return whether reservations are granted, and those of an instance.

        None are granted while there are instances of builds that send without
        reservations. Otherwise no instance does, so that all that they hold is
        known as soon as nearly all have reported in this term.
        """
        requests = self._requests.pop(instance, ())
        if not self._reports.all_reserve():
            return [False, []]
        if not self._knows_all(now):
            return [True, []]
        self._ledger.drop_old(now)
        granted = []
        for request in requests:
            server_id = self._ledger.grant(
                instance, request, self._use_function(request.service), now
            )
            if server_id is not None:
                granted.append([request.number, server_id])
        return [True, granted]

    def _knows_all(self, now):
        return self._reports.knows_all(now) or engine_memory.are_complete(
            self._reports.count, self._earlier_count()
        )

    def _use_function(self, service):
        """Return the function from the id of a server to its EngineUse.

        What a model's requests need is taken to be spread evenly over the
        servers that hold the model.
        """
        states = self._servers.of_service(service)
        models = {s.server.id: s.residency.models.keys() for s in states}
        holders = collections.Counter(itertools.chain(*models.values()))
        usual_rates, reserved_rates = self._reports.rates(service)
        interval_s = pace.exchange_interval_s(self._reports.count)
        period_s = INTERVALS_UNTIL_KNOWN * interval_s

        def use(server_id):
            if server_id not in models:
                return None
            usual_per_s = reserved_per_s = 0.0
            for model in models[server_id]:
                usual_per_s += usual_rates.get(model, 0.0) / holders[model]
                reserved_per_s += (
                    reserved_rates.get(model, 0.0) / holders[model]
                )
            held, reserved = self._reports.tokens(server_id)
            granted = self._ledger.reserved(server_id)
            wanted_per_s = usual_per_s + reserved_per_s
            return memory_reservations.EngineUse(
                held=held + granted,
                reserved=reserved + granted,
                usual=usual_per_s * period_s,
                large_part=reserved_per_s / wanted_per_s
                if wanted_per_s
                else 0.0,
            )

        return use
