"""Section with the requests in each server by priority.

Only requests that are less urgent than the most urgent ones are sent. The
others are what remains of a server's load, so that the requests of older
builds, which send no section, count as urgent.
"""

import collections
import itertools
import math

import anyio

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections

# Seconds after which what an instance reported does not count any more. It
# equals cluster_state.INSTANCE_TIMEOUT_S.
REPORT_TTL_S = 2.5

# Seconds for which what the leader returned is used without a newer update. A
# lost leader is replaced in about three seconds.
LOADS_TTL_S = 5.0

# Time constant in seconds of the load that is usual for a server.
USUAL_PERIOD_S = 4.0

# Part of it in the estimate for a server whose load has changed entirely since
# it was reported; the rest is the mean of all servers of the service.
USUAL_PART = 0.5

# Priorities beyond this one are counted as this one, as servers are told.
LOWEST_PRIORITY = 9

_MAX_COUNT = 2**31


class ClassLoads:
    """Requests in servers by priority, of this instance and of the others.

    Args:
        servers: ServerView of the instance.

    Attributes:
        applied_at: Time in seconds of the last update.
    """

    def __init__(self, servers):
        self._servers = servers
        # By priority, then by process or server: requests less urgent than it.
        self._own = [collections.Counter() for _ in range(LOWEST_PRIORITY)]
        self._others = [{} for _ in range(LOWEST_PRIORITY)]
        self._usual = {}
        self._at = self.applied_at = float('-inf')
        self._start_term()

    def section(self):
        """Return the Section for the exchange."""
        return sections.Section(
            sections.Number.CLASS_LOADS,
            make_report=self._make_report,
            receive=self._receive,
            make_update=self._make_update,
            apply=self._apply,
            start_term=self._start_term,
        )

    def record_start(self, state, priority):
        """Count a request that is sent to a server."""
        self._add(state, priority, 1)

    def record_end(self, state, priority):
        """Count a request that left its server."""
        self._add(state, priority, -1)

    def _add(self, state, priority, count):
        process = process_of(state)
        for loads in self._own[: min(max(priority, 0), LOWEST_PRIORITY)]:
            loads[process] += count
            if loads[process] <= 0:
                del loads[process]

    @property
    def reported_at(self):
        """Time in seconds of the report that the leader last answered."""
        return self._at

    def is_known(self, now):
        """Return whether the loads of the others are known and recent."""
        return now - self._at <= LOADS_TTL_S

    def less_urgent(self, state, priority):
        """Return the requests in a server that are less urgent than one.

        Only valid while `is_known`.

        Args:
            state: ServerState of the server.
            priority: Priority of the request, 0 is the most urgent.
        """
        if priority >= LOWEST_PRIORITY:
            return 0
        own = self._own[priority].get(process_of(state), 0)
        return own + self._others_less_urgent(state, priority)

    def _others_less_urgent(self, state, priority):
        if priority >= LOWEST_PRIORITY:
            return 0
        # Those of a process that has ended do not count.
        known = self._others[priority].get(state.server.id, 0)
        return min(known, state.others_load)

    def own_less_urgent(self, process, priority):
        """Return this instance's less urgent requests in a process.

        Args:
            process: Id of the server and start of the process.
            priority: The priority, 0 is the most urgent.

        Returns:
            Those that are less urgent, and those that are as urgent or less
            urgent; 0 for the latter if there is nothing more urgent.
        """
        less = same = 0
        if priority < LOWEST_PRIORITY:
            less = self._own[priority].get(process, 0)
        if priority:
            same = self._own[priority - 1].get(process, 0)
        return less, same

    def others(self, priority, outdated):
        """Return the estimated requests of the others by process of a server.

        Between two exchanges all instances see the same loads. If each of
        them avoided the servers that were full, the others would get all
        requests. Of a load that is as old as a request takes, only what is
        usual for the server tells anything about its load now.

        Args:
            priority: Priority of a request.
            outdated: Part of the loads that has changed since, 0 to 1.

        Returns:
            All requests, those that are less urgent than the request, and
            those that are as urgent or less urgent.
        """
        columns = (0, priority + 1, priority)
        rows, sums = {}, {}
        for state in self._servers.states.values():
            process = process_of(state)
            latest = self._row(state, columns)
            usual = self._usual.get(process)
            usual = [usual[c] for c in columns] if usual else latest
            rows[process] = state.server.service, latest, usual
            total = sums.setdefault(state.server.service, [0.0] * 7)
            for i, number in enumerate((*latest, *usual, 1)):
                total[i] += number
        return {
            process: _estimate(latest, usual, sums[service], outdated)
            for process, (service, latest, usual) in rows.items()
        }

    def _row(self, state, columns=range(LOWEST_PRIORITY + 2)):
        """Return the others' requests: all, and less urgent than each."""
        return [
            self._others_less_urgent(state, column - 1)
            if column
            else state.others_load
            for column in columns
        ]

    def _learn_usual(self, elapsed_s):
        weight = 1.0 - math.exp(-elapsed_s / USUAL_PERIOD_S)
        usual = {}
        for state in self._servers.states.values():
            process, latest = process_of(state), self._row(state)
            known = self._usual.get(process)
            if known is None:
                usual[process] = latest
            else:
                usual[process] = [
                    old + weight * (new - old)
                    for old, new in zip(known, latest, strict=True)
                ]
        self._usual = usual

    def totals(self):
        """Return the requests by priority in all servers, for metrics."""
        return self.by_priority(self._servers.states.values())

    def by_priority(self, states):
        """Return the requests by priority in some servers.

        The most urgent ones include those whose priority is not known.

        Args:
            states: ServerState of each server.
        """
        counts = [sum(state.load for state in states)]
        for priority in range(LOWEST_PRIORITY):
            counts.append(sum(self.less_urgent(s, priority) for s in states))
        return {
            priority: count - less_urgent
            for priority, (count, less_urgent) in enumerate(
                itertools.pairwise((*counts, 0))
            )
            if count > less_urgent
        }

    def _make_report(self):
        """Return pairs of priority and count by server."""
        return _encode(
            {
                state.server.id: [
                    loads.get(process_of(state), 0) for loads in self._own
                ]
                for state in self._servers.states.values()
                if process_of(state) in self._own[0]
            }
        )

    def _receive(self, instance, value, now):
        loads = _decode(value)
        self._drop(instance)
        self._reports[instance] = (now, loads)
        self._sum(loads, 1)
        for name, (reported_at, _) in list(self._reports.items()):
            if now - reported_at > REPORT_TTL_S:
                self._drop(name)

    def _drop(self, instance):
        _, loads = self._reports.pop(instance, (0.0, {}))
        self._sum(loads, -1)

    def _sum(self, loads, sign):
        for server_id, row in loads.items():
            total = self._totals.setdefault(server_id, [0] * LOWEST_PRIORITY)
            for priority, count in enumerate(row):
                total[priority] += sign * count
            if not total[0]:
                del self._totals[server_id]

    def _make_update(self, instance, now):
        del now
        _, own = self._reports.get(instance, (0.0, {}))
        rows = {}
        for server_id, total in self._totals.items():
            row = own.get(server_id)
            rows[server_id] = (
                [count - mine for count, mine in zip(total, row, strict=True)]
                if row
                else total
            )
        return _encode(rows)

    def _apply(self, value, now):
        if value is None:
            # A leader of an older build; what an earlier one said expires.
            return
        others = [{} for _ in range(LOWEST_PRIORITY)]
        for server_id, row in _decode(value).items():
            for priority, count in enumerate(row):
                if not count:
                    break
                others[priority][server_id] = count
        elapsed_s = min(now - self._at, USUAL_PERIOD_S)
        self._others, self._at = others, now
        self.applied_at = anyio.current_time()
        self._learn_usual(elapsed_s)

    def _start_term(self):
        self._reports = {}
        self._totals = {}


def _estimate(latest, usual, sums, outdated):
    """Return the estimated requests of the others in a server.

    The sum over all servers of the service is the latest one.

    Args:
        latest: What was last reported for the server.
        usual: What is usual for it.
        sums: Both for all servers of its service, and their number.
        outdated: Part of the loads that has changed since, 0 to 1.
    """
    found = []
    for i, (new, old) in enumerate(zip(latest, usual, strict=True)):
        mean = sums[i] / sums[-1]
        old_sum = sums[i + len(latest)]
        usual_now = old * sums[i] / old_sum if old_sum else mean
        expected = mean + USUAL_PART * (usual_now - mean)
        found.append(new + outdated * (expected - new))
    return tuple(found)


def _encode(rows):
    """Return the counts of each priority, without those that are zero.

    Args:
        rows: For each server, the number of requests less urgent than each
            priority.
    """
    encoded = {}
    for server_id, row in rows.items():
        pairs = []
        for priority, (count, less_urgent) in enumerate(
            itertools.pairwise((*row, 0)), 1
        ):
            if not count:
                break
            if count > less_urgent:
                pairs += (priority, count - less_urgent)
        if pairs:
            encoded[server_id] = pairs
    return encoded


def _decode(value):
    """Return the number of requests less urgent than each priority.

    Raises:
        BadMessage: A priority or a count is out of range.
        TypeError, ValueError: The value has another form.
    """
    rows = {}
    for server_id, pairs in _ROWS(value).items():
        row = [0] * LOWEST_PRIORITY
        for priority, count in zip(*(iter(pairs),) * 2, strict=True):
            if not 0 < priority <= LOWEST_PRIORITY or not (
                0 <= count < _MAX_COUNT
            ):
                raise fields.BadMessage(
                    f'expected a priority from 1 to {LOWEST_PRIORITY} and a '
                    f'count, got {priority} and {count}'
                )
            for other in range(priority):
                row[other] += count
        rows[server_id] = row
    return rows


_ROWS = fields.mapping(fields.text, fields.sequence(fields.integer))


def process_of(state):
    """Return the id of a server and the start of its process."""
    return state.server.id, state.server.residency.process_start_ms
