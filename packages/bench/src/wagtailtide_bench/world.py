"""A deployment of fakes, on which a variant's decisions are run."""

import dataclasses
import random

from wagtailtide_bench import engines
from wagtailtide_bench import loop as loops
from wagtailtide_bench import scenes
from wagtailtide_bench import workload

IDLE_BEFORE_EVICTION_S = 5.0


@dataclasses.dataclass
class Entry:
    """An entry instance.

    Attributes:
        name: Its name.
        zone: Availability zone.
        alive: Whether it runs.
    """

    name: str
    zone: str
    alive: bool = True


class World:
    """Engines, stores, instances and arrivals of one run.

    Attributes:
        loop: The event loop.
        deployment: The Deployment.
        cfg: The Assumptions.
        scene: The Scene.
        rng: Source of the fakes' random numbers.
        engines: Engines by name.
        entries: Entry instances.
        requests: Requests in order of arrival.
        moves: Number of loads that were ordered.
        store_up: Whether the object store answers.
        resident_changed: Called with an engine whose models changed.
    """

    def __init__(self, deployment, assumptions, scene, seed):
        if scene.storm:
            assumptions = dataclasses.replace(assumptions, cached_adapters=4)
        self.loop = loops.Loop()
        self.deployment = deployment
        self.cfg = assumptions
        self.scene = scene
        self.rng = random.Random(seed)
        self.moves = 0
        self.store_up = True
        self.resident_changed = lambda engine: None
        self.adapter_store = engines.AdapterStore(
            self.loop, deployment, self.rng
        )
        self._weights = engines.WeightStore(self.loop, deployment, assumptions)
        zones = deployment.zones
        self.engines = {
            f'engine-{i}': engines.Engine(
                self.loop,
                f'engine-{i}',
                zones[i % len(zones)],
                assumptions,
                self.adapter_store,
            )
            for i in range(deployment.engines)
        }
        self.entries = [
            Entry(f'instance-{i}', zones[i % len(zones)])
            for i in range(deployment.instances)
        ]
        self.sizes = workload.model_sizes(deployment, assumptions, self.rng)
        placed = workload.initial_placement(
            deployment,
            assumptions,
            self.sizes,
            workload.popularity(deployment),
        )
        for engine, models in zip(self.engines.values(), placed, strict=True):
            engine.models |= models
        self.requests = workload.make_requests(
            deployment, assumptions, scene, self.rng
        )

    def run(self, variant):
        """Run a variant through the scene."""
        for req in self.requests:
            self.loop.at(req.arrived_at, self._arrive, variant, req)
        self.loop.at(self.scene.event_at_s, self._fail, variant)
        end_s = self.scene.warm_up_s + self.scene.duration_s + scenes.DRAIN_S
        self.loop.run(end_s)

    def _arrive(self, variant, req):
        live = [i for i, e in enumerate(self.entries) if e.alive]
        variant.arrive(self.rng.choice(live), req)

    def _fail(self, variant):
        zone = self.deployment.zones[-1]
        if self.scene.store_out:
            self.store_up = False
        lost = []
        if self.scene.engine_lost:
            lost = [self.engines['engine-0']]
        if self.scene.zone_lost:
            lost = [e for e in self.engines.values() if e.zone == zone]
            for index, entry in enumerate(self.entries):
                if entry.zone == zone:
                    entry.alive = False
                    variant.instance_lost(index)
        for engine in lost:
            engine.crash()
            # The platform's list lags.
            self.loop.after(10.0, self.resident_changed, engine)

    def delay_s(self, entry, engine):
        """Return the one-way delay from an instance to an engine."""
        same = self.entries[entry].zone == engine.zone
        return 0.0 if same else self.cfg.zone_delay_s

    def send(self, entry, req, engine, on_first, on_end):
        """Make an attempt at a request.

        Args:
            entry: Number of the instance.
            req: The Request.
            engine: The Engine.
            on_first: Called at the first token, as the instance sees it.
            on_end: Called with None at a whole end, else with what failed:
                'broken' or the kind of the refusal.
        """
        req.attempts += 1
        self.loop.after(
            self.delay_s(entry, engine),
            self._submit,
            entry,
            req,
            engine,
            on_first,
            on_end,
        )

    def _submit(self, entry, req, engine, on_first, on_end):
        delay = self.delay_s(entry, engine)

        def first():
            if not self.entries[entry].alive:
                return
            if req.first_at is None:
                req.first_at = self.loop.now + delay + self.cfg.client_delay_s
            self.loop.after(delay, on_first)

        def end(whole):
            if not self.entries[entry].alive:
                req.refused = 'cut'
                return
            if whole:
                req.ended_at = self.loop.now + delay + self.cfg.client_delay_s
            self.loop.after(delay, on_end, None if whole else 'broken')

        refused = engine.submit(req, first, end)
        if refused:
            self.loop.after(delay, on_end, refused)

    def free_bytes(self, engine):
        """Return the memory of an engine that is not taken or promised."""
        held = engine.models | engine.loading
        return self.cfg.memory_bytes - sum(self.sizes[m] for m in held)

    def copies(self, model):
        """Return the live engines on which a model is resident."""
        return [e for e in self.engines.values() if model in e.models]

    def is_loading(self, model):
        """Tell whether a model is being loaded anywhere."""
        return any(model in e.loading for e in self.engines.values())

    def load_on_miss(self, model, keep_last_copy, may_unload=True):
        """Load a model on the engine that loses least by it.

        Args:
            model: The model.
            keep_last_copy: Whether models without another copy stay.
            may_unload: Whether others may be unloaded for it.

        Returns:
            Whether it is being loaded.
        """
        if self.is_loading(model):
            return True
        best = None
        for engine in self.engines.values():
            if not engine.alive or model in engine.models:
                continue
            victims = self._victims(engine, model, keep_last_copy)
            if victims is None or (victims and not may_unload):
                continue
            rank = (len(victims), -self.free_bytes(engine), engine.name)
            if best is None or rank < best[0]:
                best = (rank, engine, victims)
        if best is None:
            return False
        _, engine, victims = best
        for victim in victims:
            engine.models.discard(victim)
        self.load(engine, model)
        return True

    def unload(self, engine, model):
        """Unload a model; what runs with it goes on to its end."""
        engine.models.discard(model)
        self.resident_changed(engine)

    def load(self, engine, model):
        """Load a model into free memory."""
        if self.free_bytes(engine) < self.sizes[model]:
            raise ValueError(f'no room for {model} on {engine.name}')
        engine.loading.add(model)
        self.moves += 1
        self.resident_changed(engine)
        self._weights.load(
            self.sizes[model], lambda: self._loaded(engine, model)
        )

    def _victims(self, engine, model, keep_last_copy):
        """Return the idle models to unload for another, or None."""
        needed = self.sizes[model] - self.free_bytes(engine)
        victims = []
        by_use = sorted(
            engine.models, key=lambda m: (engine.last_used.get(m, 0.0), m)
        )
        for candidate in by_use:
            if needed <= 0:
                break
            idle = self.loop.now - engine.last_used.get(candidate, 0.0)
            if idle < IDLE_BEFORE_EVICTION_S:
                continue
            if keep_last_copy and len(self.copies(candidate)) < 2:
                continue
            victims.append(candidate)
            needed -= self.sizes[candidate]
        return victims if needed <= 0 else None

    def _loaded(self, engine, model):
        if engine.alive:
            engine.loading.discard(model)
            engine.models.add(model)
            engine.last_used[model] = self.loop.now
            engine.ready_since[model] = self.loop.now
            self.resident_changed(engine)
