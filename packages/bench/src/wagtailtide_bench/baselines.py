"""Two simple control variants as baselines."""

import collections
import itertools
import math

MAX_ATTEMPTS = 3
LOAD_RETRY_S = 0.5


class RoundRobin:
    """Round robin, fixed placement and a concurrency limit per instance."""

    def __init__(self, sim):
        self._sim = sim
        slots = sim.deployment.engines * sim.cfg.slots
        self._limit = math.ceil(slots / sim.deployment.instances)
        self._in_flight = collections.Counter()
        self._cursors = collections.defaultdict(itertools.count)
        self._placement = {}
        for model in sim.model_sizes:
            self._placement[model] = sim.replicas(model)
        sim.on_residency_change = self._remove_crashed

    def _remove_crashed(self, engine):
        for model, replicas in self._placement.items():
            self._placement[model] = [e for e in replicas if e.alive]

    def instance_crashed(self, index):
        """Do nothing: only a count is kept for each instance."""

    def handle(self, index, req):
        """Handle a request that arrives at an instance.

        Args:
            index: Index of the instance.
            req: The Request.
        """
        if self._in_flight[index] >= self._limit:
            req.refusal = 'overloaded'
            return
        replicas = self._placement[req.model]
        if not replicas:
            req.refusal = 'no_backend_server'
            return
        cursor = next(self._cursors[index, req.model])
        engine = replicas[cursor % len(replicas)]
        self._in_flight[index] += 1

        def handle_end(failure):
            self._in_flight[index] -= 1
            if failure:
                req.refusal = failure

        self._sim.send(index, req, engine, lambda: None, handle_end)


class LeastOutstanding:
    """Least outstanding requests per instance, with model loads on a miss."""

    def __init__(self, sim):
        self._sim = sim
        self._outstanding = collections.Counter()
        self._removed = set()
        sim.on_residency_change = self._mark_removed

    def _mark_removed(self, engine):
        if not engine.alive:
            self._removed.add(engine.name)

    def instance_crashed(self, index):
        """Do nothing: the counts of an instance are not used any more."""

    def handle(self, index, req, tried=frozenset()):
        """Handle a request that arrives at an instance.

        Args:
            index: Index of the instance.
            req: The Request.
            tried: Names of engines that failed the request.
        """
        sim = self._sim
        if sim.loop.now > req.deadline:
            req.refusal = 'deadline'
            return
        usable = [
            e
            for e in sim.engines.values()
            if e.name not in tried
            and e.name not in self._removed
            and req.model in e.models
        ]
        if not usable:
            sim.load_on_miss(req.model, keep_last_replica=False)
            sim.loop.after(LOAD_RETRY_S, self.handle, index, req)
            return
        engine = min(
            usable,
            key=lambda e: (self._outstanding[index, e.name], e.name),
        )
        self._outstanding[index, engine.name] += 1

        def handle_end(failure):
            self._outstanding[index, engine.name] -= 1
            if not failure:
                return
            if req.attempts >= MAX_ATTEMPTS:
                req.refusal = failure
                return
            # A stream starts from the beginning on another server.
            req.generated = 0.0
            self.handle(index, req, tried | {engine.name})

        sim.send(index, req, engine, lambda: None, handle_end)
