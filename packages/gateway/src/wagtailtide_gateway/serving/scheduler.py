"""Scheduling of waiting requests by what waits at all instances."""

import collections
import dataclasses
import math

import anyio

from wagtailtide_gateway.control import sections
from wagtailtide_gateway.control import waiting_work
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import class_capacity
from wagtailtide_gateway.decisions import pace
from wagtailtide_gateway.decisions import scheduling
from wagtailtide_gateway.serving import fair_queue

# Priorities beyond this one are counted as this one, as servers are told.
LOWEST_PRIORITY = 9

# Arrivals a second below which a class has no demand: its rate decays, but
# never to zero.
_LEAST_RATE_PER_S = 0.05

# Work in seconds expected of a request before one of its kind has ended.
DEFAULT_WORK_S = 1.0


@dataclasses.dataclass(slots=True)
class _QueuedJob:
    """What was known of the requests ahead when a request was queued.

    Attributes:
        joined_at: Time in seconds at which it was queued.
        counted_at: Time in seconds at which those ahead were last counted.
        others_ahead: Number of those at other instances then.
        expected_wait_s: Wait that was predicted then.
    """

    joined_at: float
    counted_at: float
    others_ahead: float
    expected_wait_s: float


class Scheduler:
    """Requests of this instance that wait, and the work of all instances.

    Args:
        deployment: Function that returns the Deployment in force, or None.

    Attributes:
        queues: FairQueues of the waiting requests.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._weights = (None, {})
        self._estimates = scheduling.WorkEstimates()
        self._charged = {}
        self.queues = fair_queue.FairQueues(self._relative_usage)
        self._view = waiting_work.FleetView()
        self._leader = waiting_work.LeaderWork()
        self._waiting = collections.Counter()
        self._org_waiting = collections.Counter()
        self._arrivals = scheduling.DecayingSums(scheduling.RATE_PERIOD_S)
        self._usage = scheduling.DecayingSums(scheduling.USAGE_PERIOD_S)
        self._queued = {}

    def section(self):
        """Return the Section by which the instances exchange their work."""
        return sections.Section(
            number=sections.Number.WAITING_WORK,
            make_report=self._make_report,
            receive=self._leader.receive,
            make_update=self._leader.make_update,
            apply=self._view.apply,
            start_term=self._leader.start_term,
        )

    def _make_report(self):
        now = anyio.current_time()
        rates = {
            key: total / scheduling.RATE_PERIOD_S
            for key, total in self._arrivals.values(now).items()
        }
        return waiting_work.encode_work(
            waiting_work.Work(
                waiting=+self._waiting,
                arrivals_per_s=rates,
                usage_s=self._usage.values(now),
                org_waiting=+self._org_waiting,
            )
        )

    def record_arrival(self, job):
        """Count the arrival of a request for a model that exists."""
        # Callers may ask for any number of models that do not exist.
        if not job.is_plain and job.req.model not in job.service.engine.models:
            return
        self._arrivals.add(_key(job), 1, anyio.current_time())

    def record_start(self, job):
        """Charge the expected work of a request that is sent to a server."""
        now = anyio.current_time()
        work_s = self._estimates.work_s(
            _kind(job), job.req.tokens, DEFAULT_WORK_S
        )
        self._charged[id(job)] = (work_s, now)
        self._usage.add(_org(job), work_s, now)

    def record_end(self, job, is_complete):
        """Charge the work that a request has used instead of the expected.

        Args:
            job: The Job of a request that left its server.
            is_complete: Whether its response is complete.
        """
        now = anyio.current_time()
        work_s, started_at = self._charged.pop(id(job))
        used_s = now - started_at
        self._usage.add(_org(job), used_s - work_s, now)
        if is_complete:
            self._estimates.record(_kind(job), job.req.tokens, used_s)

    def join(self, job, wait_s, instances):
        """Queue a request.

        Args:
            job: Its Job.
            wait_s: Predicted wait in seconds.
            instances: Number of instances.

        Returns:
            Its FairWaiter.
        """
        now = anyio.current_time()
        others_ahead = self._reported_ahead(job, instances, now)
        self._queued[id(job)] = _QueuedJob(
            now, now, others_ahead or 0.0, wait_s
        )
        self._waiting[_key(job)] += 1
        self._org_waiting[_org(job), _priority(job)] += 1
        return self.queues.add_ticket(
            job.service.name, job.req.model, self._ticket(job)
        )

    def record_leave(self, job):
        """Count a request that no longer waits."""
        del self._queued[id(job)]
        self._waiting[_key(job)] -= 1
        self._org_waiting[_org(job), _priority(job)] -= 1

    def ahead(self, job, waiter):
        """Return how many requests of this instance are ahead of one."""
        return self.queues.ahead_of(
            job.service.name, job.req.model, self._ticket(job), waiter
        )

    def take(self, job, waiter, best):
        """Return the server that a request may take now, or None.

        Args:
            job: Its Job.
            waiter: Its FairWaiter, None if it is not queued.
            best: ServerState of a free server, or None.
        """
        service, model = job.service.name, job.req.model
        if not self._is_turn(job, waiter):
            if best is not None:
                self.queues.wake_first(service, model)
            return None
        if best is None and waiter is not None:
            self.queues.record_failure(service, waiter)
        return best

    def peek(self, job, waiter, best):
        """Return what `take` would return, without waking any request."""
        return best if self._is_turn(job, waiter) else None

    def _is_turn(self, job, waiter):
        return self.queues.may_take(
            job.service.name, job.req.model, self._ticket(job), waiter
        )

    def _ticket(self, job):
        target_s = job.route.latency_target_s
        return fair_queue.Ticket(
            priority=_priority(job),
            organisation=_org(job),
            needs=(
                job.req.adapter,
                job.software_version,
                frozenset(job.tried),
                target_s,
                job.reservation,
            ),
            late_at=(
                math.inf
                if job.has_response_started
                else job.received_at + target_s
            ),
        )

    def _relative_usage(self, organisation):
        now = anyio.current_time()
        used_s = self._usage.value(organisation, now)
        used_s += self._view.usage_s(organisation, now)
        return used_s / self._weight(organisation)

    def _weight(self, organisation):
        deployment = self._deployment()
        if deployment is not None and self._weights[0] is not deployment:
            orgs = deployment.organisations_by_name.values()
            self._weights = (deployment, scheduling.relative_weights(orgs))
        return self._weights[1].get(organisation, 1.0)

    def with_others(self, pool, job):
        """Return an admission.ServerPool with what waits elsewhere."""
        now = anyio.current_time()
        ahead = self._reported_ahead(job, pool.instances, now)
        queued = self._queued.get(id(job))
        if ahead is None or queued is None:
            return dataclasses.replace(pool, others_ahead=ahead)
        # Reports of other instances are up to an interval older than the
        # update. Until they are all from after the request was queued, it is
        # counted anew what is ahead of it.
        settled_at = queued.joined_at + pace.exchange_interval_s(
            pool.instances
        )
        if self._view.reported_at <= settled_at:
            pool = dataclasses.replace(pool, others_ahead=ahead)
            queued.counted_at, queued.others_ahead = now, ahead
            queued.expected_wait_s = admission.predict_wait_s(pool)
            return pool
        ahead = scheduling.remaining_ahead(
            ahead,
            queued.others_ahead,
            now - queued.counted_at,
            queued.expected_wait_s,
        )
        return dataclasses.replace(pool, others_ahead=ahead)

    def _reported_ahead(self, job, instances, now):
        """Return the requests ahead at other instances, None if unknown."""
        service, model, priority = _key(job)
        counts = [
            self._view.waiting((service, model, p), instances, now)
            for p in range(priority + 1)
        ]
        if None in counts:
            return None
        part = self._part_ahead(job, now)
        return sum(counts[:-1]) + part * counts[-1]

    def demands(self, service, model, instances, now):
        """Return the class_capacity.Demand for a model by priority.

        It is that of all instances, as far as it is known.

        Args:
            service: Name of the service.
            model: Name of the model, '' without one.
            instances: Number of all instances.
            now: Time in seconds.
        """
        found = {}
        for priority in range(LOWEST_PRIORITY + 1):
            key = (service, model, priority)
            rate = self._arrivals.value(key, now) / scheduling.RATE_PERIOD_S
            rate += self._view.arrivals_per_s(key, now)
            waiting = self._waiting[key]
            waiting += self._view.waiting(key, instances, now) or 0.0
            if rate > _LEAST_RATE_PER_S or waiting:
                service_s = self.service_time_s(service, priority)
                found[priority] = class_capacity.Demand(
                    rate, waiting, service_s
                )
        return found

    def knows_fleet(self, instances, now):
        """Return whether at least half of the instances report their work.

        A new leader has the reports of few of them at first.
        """
        fleet = self._view.fleet(now)
        return fleet is not None and 2 * fleet.reporting >= instances

    def service_time_s(self, service, priority, default_s=DEFAULT_WORK_S):
        """Return the mean seconds in a server of a priority's requests."""
        return self._estimates.seconds((service, priority), default_s)

    def _part_ahead(self, job, now):
        waiting = self._view.org_waiting(_priority(job), now)
        return scheduling.part_ahead(self._relative_usage, waiting, _org(job))


def _kind(job):
    return job.service.name, _priority(job)


def _priority(job):
    return min(max(job.priority, 0), LOWEST_PRIORITY)


def _key(job):
    return job.service.name, job.req.model or '', _priority(job)


def _org(job):
    return job.organisation.name if job.organisation else ''
