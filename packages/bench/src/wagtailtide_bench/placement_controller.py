"""Model placement by the planner of wagtailtide_core."""

from wagtailtide_core.document import schema
from wagtailtide_core.placement import decisions
from wagtailtide_core.placement import demand
from wagtailtide_core.placement import fleet
from wagtailtide_core.placement import plan
from wagtailtide_core.placement import targets

PLAN_INTERVAL_S = 2.0
STATE_LAG_S = 0.5

# Time between tokens at which the capacity of an engine is planned.
PLANNED_TOKEN_S = 0.05
# Share of an engine that one replica can use beside the other models on it.
REPLICA_SHARE = 0.5


class PlacementController:
    """One planner per engine; planners learn of other engines with a delay.

    Models are named ``name@version`` here and ``(name, version)`` in the
    simulation.
    """

    def __init__(self, sim, replica_tokens_per_s=None):
        self._sim = sim
        tokens_per_s = replica_tokens_per_s or (
            sim.cfg.slots / PLANNED_TOKEN_S * REPLICA_SHARE
        )
        self._models = {
            f'{name}@{version}': (name, version)
            for name, version in sim.model_sizes
        }
        self._declared = {
            key: schema.Model(
                name=model[0],
                version=model[1],
                weights_bytes=sim.model_sizes[model] - 1,
                kv_reserve_bytes=1,
            )
            for key, model in self._models.items()
        }
        self._planners = {
            name: plan.Planner(fleet.Fleet(), targets.Targets(tokens_per_s))
            for name in sim.engines
        }
        self._meters = [demand.DemandMeter() for _ in sim.entry_instances]
        self._demand = demand.FleetDemand()
        for name in sim.engines:
            self._publish_server(name)
        sim.loop.after(demand.PUBLISH_INTERVAL_S, self._publish_demand)
        sim.loop.after(sim.scenario.warm_up_s, self._plan_all)

    def record(self, index, req):
        """Count the demand of a request.

        Args:
            index: Index of the instance at which it arrived.
            req: The Request.
        """
        key = f'{req.model[0]}@{req.model[1]}'
        self._meters[index].record(key, req.tokens, self._sim.loop.now)

    def request_model(self, model):
        """Note for all planners that a request waits for a model.

        Args:
            model: The model as ``(name, version)``.
        """
        for planner in self._planners.values():
            planner.record_request(
                f'{model[0]}@{model[1]}', self._sim.loop.now
            )

    def _publish_demand(self):
        now = self._sim.loop.now
        for instance, meter in zip(
            self._sim.entry_instances, self._meters, strict=True
        ):
            if instance.alive:
                self._demand.apply(
                    instance.name, meter.to_value(now), 0.0, now
                )
        self._demand.drop_expired(now)
        self._sim.loop.after(demand.PUBLISH_INTERVAL_S, self._publish_demand)

    def _own_server(self, name):
        sim, engine = self._sim, self._sim.engines[name]
        return decisions.OwnedServer(
            name,
            engine.zone,
            sim.cfg.accelerators,
            sim.free_bytes(engine),
            tuple(
                decisions.Resident(
                    f'{m[0]}@{m[1]}',
                    sim.model_sizes[m],
                    engine.ready_since.get(m, 0.0),
                )
                for m in sorted(engine.models)
            ),
            frozenset(f'{m[0]}@{m[1]}' for m in engine.loading),
            may_load=engine.alive,
            may_unload=engine.alive and sim.store_available,
        )

    def _plan_all(self):
        sim, now = self._sim, self._sim.loop.now
        live_instances = sum(
            instance.alive for instance in sim.entry_instances
        )
        needs = {
            key: targets.Need(
                model, self._demand.forecast(key, live_instances)
            )
            for key, model in self._declared.items()
        }
        for name, planner in self._planners.items():
            engine = sim.engines[name]
            if not engine.alive:
                continue
            decided = planner.plan(needs, {name: self._own_server(name)}, now)
            for unload in decided.unloads:
                model = self._models[unload.key]
                if unload.may_be_last or len(sim.replicas(model)) > 1:
                    sim.unload(engine, model)
            for load in decided.loads:
                sim.load(engine, self._models[load.key])
            self._publish_server(name)
        sim.loop.after(PLAN_INTERVAL_S, self._plan_all)

    def _publish_server(self, name):
        state = self._planners[name].describe(
            self._own_server(name), self._sim.loop.now
        )
        for other, planner in self._planners.items():
            if other != name:
                self._sim.loop.after(STATE_LAG_S, planner.fleet.put, state)

    def remove_engine(self, name):
        """Remove an engine that the platform does not list any more."""
        for planner in self._planners.values():
            planner.fleet.drop(name)
