"""What the requests of each priority may use of the servers."""

import functools
import random

from wagtailtide_gateway.control import class_loads
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import class_capacity
from wagtailtide_gateway.decisions import pace

# Seconds for which the shares of a model's classes are used again. Their
# inputs change with each exchange, every 0.25 s or more.
SHARE_TTL_S = 0.1

# Seconds for which they are used again while few instances report their work.
# A lost leader is replaced in about three seconds, and has all reports an
# exchange interval later.
SHARE_HOLD_S = 5.0


class ClassShares:
    """Shares of the classes, from what all instances report.

    Args:
        loads: ClassLoads of the instance.
        scheduler: Scheduler of the instance.

    Attributes:
        loads: The ClassLoads.
    """

    def __init__(self, loads, scheduler):
        self.loads = loads
        self._scheduler = scheduler
        self._shares = {}
        self._others = {}

    @property
    def model_count(self):
        """Number of models and priorities whose shares are remembered."""
        return len(self._shares)

    def view(self, job, instances, service_s, now):
        """Return the ClassView of a request, None if loads are not known.

        Args:
            job: The Job.
            instances: Number of all instances.
            service_s: Seconds that a request occupies a slot.
            now: Time in seconds.
        """
        if not self.loads.is_known(now):
            return None
        priority = min(max(job.priority, 0), class_loads.LOWEST_PRIORITY)
        share = self._share(job, priority, instances, now)
        service_s = self._scheduler.service_time_s(
            job.service.name, priority, service_s
        )
        # The reports of the others were half an interval old on average.
        age_s = now - self.loads.reported_at
        age_s += pace.exchange_interval_s(instances) / 2.0
        outdated = min(1.0, age_s / service_s) if share.is_mixed else 0.0
        others = self._others_of(priority, outdated, now)
        return ClassView(self.loads, priority, share, others, age_s, service_s)

    def _share(self, job, priority, instances, now):
        key = (job.service.name, job.req.model or '', priority)
        share, at = self._shares.get(key, (None, 0.0))
        ttl_s = SHARE_HOLD_S
        if self._scheduler.knows_fleet(instances, now):
            ttl_s = SHARE_TTL_S
        if share is None or now - at > ttl_s:
            demands = self._scheduler.demands(*key[:2], instances, now)
            share = class_capacity.share_of(demands, priority)
            self._shares[key] = (share, now)
        return share

    def _others_of(self, priority, outdated, now):
        key = (priority, outdated > 0.0)
        others, at = self._others.get(key, (None, 0.0))
        if (
            others is None
            or now - at > SHARE_TTL_S
            or self.loads.applied_at >= at
        ):
            others = self.loads.others(priority, outdated)
            self._others[key] = (others, now)
        return others


class ClassView:
    """Servers as the requests of one priority see them.

    Args:
        loads: ClassLoads of the instance.
        priority: Their priority.
        share: Their class_capacity.Share.
        others: Estimated requests of the others by process of a server.
        age_s: Age of the loads in seconds.
        service_s: Seconds that a request occupies a slot.
    """

    def __init__(self, loads, priority, share, others, age_s, service_s):
        self._age_s = age_s
        self._service_s = service_s
        self._loads = loads
        self._priority = priority
        self._share = share
        self._others = others

    def loads_of(self, state):
        """Return the estimated requests in a server.

        Returns:
            Those that are as urgent or more urgent, those that are less
            urgent, and those that are more urgent.
        """
        server = state.server
        process = server.id, server.residency.process_start_ms
        total, less_urgent, same_or_less = self._others.get(
            process, (state.others_load, 0.0, 0.0)
        )
        total += state.own_load
        if not state.own_load:
            # Most instances have no request in most servers.
            own = own_same = 0
        else:
            own, own_same = self._loads.own_less_urgent(
                process, self._priority
            )
        less_urgent += own
        ahead = total - same_or_less - own_same if self._priority else 0.0
        return total - less_urgent, less_urgent, ahead

    def rooms(self, job, candidates, now):
        """Return how many requests more each server may get, by server id.

        Args:
            job: The Job.
            candidates: The Candidate objects of the servers.
            now: Time in seconds.
        """
        limit = self._limits(job.route.latency_target_s)
        slots = sum(c.slots / c.slowdown for c in candidates)
        share = class_capacity.in_force(self._share, slots)
        reserved = class_capacity.reserved_part(
            share, slots, sum(c.ahead for c in candidates)
        )
        rooms = [
            class_capacity.room(c, limit(c), share, reserved)
            for c in candidates
        ]
        if share.is_mixed:
            rooms = class_capacity.rooms_until_exchange(
                candidates, rooms, self._age_s / self._service_s
            )
            part = class_capacity.admitted_part(share, rooms, self._age_s)
            if part < 1.0 and self._chance(job, now) >= part:
                return {}
        ids = (c.id for c in candidates)
        return dict(zip(ids, rooms, strict=True))

    def _chance(self, job, now):
        """Return a number from 0 to 1 that lasts as long as the loads do."""
        until, chance = job.class_chance
        if now >= until:
            chance = random.random()
            job.class_chance = (now + self._age_s, chance)
        return chance

    def _limits(self, target_s):
        """Return the function from a Candidate to its load limit.

        Most servers have the same one, which is computed once.
        """

        @functools.cache
        def limit(slots, slowdown):
            return admission.load_limit(
                self._priority, slots, target_s, self._service_s * slowdown
            )

        return lambda c: limit(c.slots, c.slowdown)

    def pool(self, pool, candidates):
        """Return the part of an admission.ServerPool for the class.

        Args:
            pool: The pool.
            candidates: The Candidate objects of its servers.
        """
        ahead = sum(c.ahead for c in candidates)
        share = class_capacity.in_force(self._share, pool.slots)
        return class_capacity.class_pool(pool, share, ahead)
