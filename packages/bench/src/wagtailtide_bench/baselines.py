"""Two simple variants to compare with."""

import collections
import itertools
import math

# Attempts of the second baseline.
ATTEMPTS = 3
RETRY_LOAD_S = 0.5


class RoundRobin:
    """Round robin, fixed placement and one limit for each instance."""

    def __init__(self, world):
        self._world = world
        slots = world.deployment.engines * world.cfg.slots
        self._limit = math.ceil(slots / world.deployment.instances)
        self._in_flight = collections.Counter()
        self._cursors = collections.defaultdict(itertools.count)
        self._placed = {}
        for model in world.sizes:
            self._placed[model] = world.copies(model)
        world.resident_changed = self._forget_lost

    def _forget_lost(self, engine):
        for model, placed in self._placed.items():
            self._placed[model] = [e for e in placed if e.alive]

    def instance_lost(self, index):
        """Nothing is kept for an instance but its count."""

    def arrive(self, index, req):
        """Take a request on an instance."""
        if self._in_flight[index] >= self._limit:
            req.refused = 'overloaded'
            return
        placed = self._placed[req.model]
        if not placed:
            req.refused = 'no_backend_server'
            return
        cursor = next(self._cursors[index, req.model])
        engine = placed[cursor % len(placed)]
        self._in_flight[index] += 1

        def end(failed):
            self._in_flight[index] -= 1
            if failed:
                req.refused = failed

        self._world.send(index, req, engine, lambda: None, end)


class LeastOutstanding:
    """Least outstanding requests of the instance, with load on miss."""

    def __init__(self, world):
        self._world = world
        self._outstanding = collections.Counter()
        self._listed_gone = set()
        world.resident_changed = self._note_lost

    def _note_lost(self, engine):
        if not engine.alive:
            self._listed_gone.add(engine.name)

    def instance_lost(self, index):
        """Drop the counts of an instance."""

    def arrive(self, index, req, tried=frozenset()):
        """Take a request on an instance."""
        world = self._world
        if world.loop.now > req.deadline:
            req.refused = 'deadline'
            return
        usable = [
            e
            for e in world.engines.values()
            if e.name not in tried
            and e.name not in self._listed_gone
            and req.model in e.models
        ]
        if not usable:
            world.load_on_miss(req.model, keep_last_copy=False)
            world.loop.after(RETRY_LOAD_S, self.arrive, index, req)
            return
        engine = min(
            usable,
            key=lambda e: (self._outstanding[index, e.name], e.name),
        )
        self._outstanding[index, engine.name] += 1

        def end(failed):
            self._outstanding[index, engine.name] -= 1
            if not failed:
                return
            if req.attempts >= ATTEMPTS:
                req.refused = failed
                return
            # A stream starts anew on another server.
            req.done = 0.0
            self.arrive(index, req, tried | {engine.name})

        world.send(index, req, engine, lambda: None, end)
