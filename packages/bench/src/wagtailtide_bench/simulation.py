"""Simulated deployment on which a control variant runs."""

import dataclasses
import random

from wagtailtide_bench import engines
from wagtailtide_bench import event_loop
from wagtailtide_bench import scenarios
from wagtailtide_bench import workload

MIN_IDLE_BEFORE_EVICTION_S = 5.0


@dataclasses.dataclass
class EntryInstance:
    """An instance that accepts requests.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        alive: Whether its process runs.
    """

    name: str
    zone: str
    alive: bool = True


class Simulation:
    """Engines, stores, instances and requests of one run.

    Attributes:
        loop: The EventLoop.
        deployment: The Deployment.
        cfg: The Assumptions.
        scenario: The Scenario.
        rng: Source of random numbers, a random.Random.
        adapter_store: The AdapterStore.
        engines: Engines by name.
        entry_instances: The EntryInstances; other methods take their index.
        model_sizes: Size of each model in bytes.
        requests: Requests in order of arrival.
        moves: Number of model loads that were ordered.
        store_available: Whether the object store answers.
        on_residency_change: Called with an engine whose models changed or
            that the platform stopped listing.
    """

    def __init__(self, deployment, assumptions, scenario, seed):
        if scenario.adapter_heavy:
            assumptions = dataclasses.replace(assumptions, cached_adapters=4)
        self.loop = event_loop.EventLoop()
        self.deployment = deployment
        self.cfg = assumptions
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.moves = 0
        self.store_available = True
        self.on_residency_change = lambda engine: None
        self.adapter_store = engines.AdapterStore(
            self.loop, deployment, self.rng
        )
        self._weight_store = engines.WeightStore(
            self.loop, deployment, assumptions
        )
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
        self.entry_instances = [
            EntryInstance(f'instance-{i}', zones[i % len(zones)])
            for i in range(deployment.instances)
        ]
        self.model_sizes = workload.model_sizes(
            deployment, assumptions, self.rng
        )
        placement = workload.initial_placement(
            deployment,
            assumptions,
            self.model_sizes,
            workload.popularity(deployment),
        )
        for engine, models in zip(
            self.engines.values(), placement, strict=True
        ):
            engine.models |= models
        self.requests = workload.make_requests(
            deployment, assumptions, scenario, self.rng
        )

    def run(self, variant):
        """Run the scenario with a variant that handles the requests."""
        for req in self.requests:
            self.loop.at(req.arrived_at, self._deliver, variant, req)
        self.loop.at(self.scenario.event_at_s, self._inject_failures, variant)
        end_s = (
            self.scenario.warm_up_s
            + self.scenario.duration_s
            + scenarios.DRAIN_TIMEOUT_S
        )
        self.loop.run(end_s)

    def _deliver(self, variant, req):
        live_indexes = [
            i for i, e in enumerate(self.entry_instances) if e.alive
        ]
        variant.handle(self.rng.choice(live_indexes), req)

    def _inject_failures(self, variant):
        zone = self.deployment.zones[-1]
        if self.scenario.store_outage:
            self.store_available = False
        crashed = []
        if self.scenario.engine_crash:
            crashed = [self.engines['engine-0']]
        if self.scenario.zone_crash:
            crashed = [e for e in self.engines.values() if e.zone == zone]
            for index, instance in enumerate(self.entry_instances):
                if instance.zone == zone:
                    instance.alive = False
                    variant.instance_crashed(index)
        for engine in crashed:
            engine.crash()
            # The platform keeps listing a crashed engine for a while.
            self.loop.after(10.0, self.on_residency_change, engine)

    def delay_s(self, index, engine):
        """Return the one-way delay to an engine in seconds.

        Args:
            index: Index of the instance.
            engine: The Engine.
        """
        same_zone = self.entry_instances[index].zone == engine.zone
        return 0.0 if same_zone else self.cfg.zone_delay_s

    def send(self, index, req, engine, on_first_token, on_end):
        """Send a request to an engine, as one attempt.

        Args:
            index: Index of the instance.
            req: The Request.
            engine: The Engine.
            on_first_token: Called when the first token reaches the instance.
            on_end: Called with None when the answer is complete, otherwise
                with the failure: 'broken' or the kind of the refusal.
        """
        req.attempts += 1
        self.loop.after(
            self.delay_s(index, engine),
            self._submit,
            index,
            req,
            engine,
            on_first_token,
            on_end,
        )

    def _submit(self, index, req, engine, on_first_token, on_end):
        delay = self.delay_s(index, engine)

        def handle_first_token():
            if not self.entry_instances[index].alive:
                return
            if req.first_token_at is None:
                req.first_token_at = (
                    self.loop.now + delay + self.cfg.client_delay_s
                )
            self.loop.after(delay, on_first_token)

        def handle_end(complete):
            if not self.entry_instances[index].alive:
                req.refusal = 'cut'
                return
            if complete:
                req.ended_at = self.loop.now + delay + self.cfg.client_delay_s
            self.loop.after(delay, on_end, None if complete else 'broken')

        refusal = engine.submit(req, handle_first_token, handle_end)
        if refusal:
            self.loop.after(delay, on_end, refusal)

    def free_bytes(self, engine):
        """Return the memory that neither resident nor loading models take.

        Args:
            engine: The Engine.

        Returns:
            Free memory in bytes.
        """
        reserved = engine.models | engine.loading
        return self.cfg.memory_bytes - sum(
            self.model_sizes[m] for m in reserved
        )

    def replicas(self, model):
        """Return the engines on which a model is resident."""
        return [e for e in self.engines.values() if model in e.models]

    def is_loading(self, model):
        """Return whether any engine is loading a model."""
        return any(model in e.loading for e in self.engines.values())

    def load_on_miss(self, model, keep_last_replica, may_unload=True):
        """Load a model on the engine that has to unload the fewest models.

        Args:
            model: The model.
            keep_last_replica: Whether the last replica of a model may not be
                unloaded.
            may_unload: Whether other models may be unloaded to make room.

        Returns:
            Whether the model is being loaded.
        """
        if self.is_loading(model):
            return True
        best = None
        for engine in self.engines.values():
            if not engine.alive or model in engine.models:
                continue
            victims = self._choose_victims(engine, model, keep_last_replica)
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
        """Unload a model; requests that are running with it finish."""
        engine.models.discard(model)
        self.on_residency_change(engine)

    def load(self, engine, model):
        """Load a model into free memory.

        Raises:
            ValueError: If the free memory is too small.
        """
        if self.free_bytes(engine) < self.model_sizes[model]:
            raise ValueError(
                f'not enough free memory for {model} on {engine.name}: '
                'unload a model first'
            )
        engine.loading.add(model)
        self.moves += 1
        self.on_residency_change(engine)
        self._weight_store.load(
            self.model_sizes[model], lambda: self._finish_load(engine, model)
        )

    def _choose_victims(self, engine, model, keep_last_replica):
        """Return the models to unload, or None if they free too little."""
        needed_bytes = self.model_sizes[model] - self.free_bytes(engine)
        victims = []
        least_recent_first = sorted(
            engine.models, key=lambda m: (engine.last_used.get(m, 0.0), m)
        )
        for candidate in least_recent_first:
            if needed_bytes <= 0:
                break
            idle_s = self.loop.now - engine.last_used.get(candidate, 0.0)
            if idle_s < MIN_IDLE_BEFORE_EVICTION_S:
                continue
            if keep_last_replica and len(self.replicas(candidate)) < 2:
                continue
            victims.append(candidate)
            needed_bytes -= self.model_sizes[candidate]
        return victims if needed_bytes <= 0 else None

    def _finish_load(self, engine, model):
        if engine.alive:
            engine.loading.discard(model)
            engine.models.add(model)
            engine.last_used[model] = self.loop.now
            engine.ready_since[model] = self.loop.now
            self.on_residency_change(engine)
