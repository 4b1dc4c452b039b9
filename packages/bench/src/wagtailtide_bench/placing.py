"""The planner of model placement on the fakes."""

from wagtailtide_core.document import schema
from wagtailtide_core.placement import decisions
from wagtailtide_core.placement import demand
from wagtailtide_core.placement import fleet
from wagtailtide_core.placement import plan
from wagtailtide_core.placement import targets

PLAN_S = 2.0
NEWS_LAG_S = 0.5

# Time between tokens at which the slots of an engine are planned.
TOKEN_TARGET_S = 0.05
# Part of an engine that one replica is counted on to get: others run on it.
REPLICA_PART = 0.5


class Placing:
    """One owner for each engine, with a planner and delayed news."""

    def __init__(self, world, replica_tokens_per_s=None):
        self._world = world
        each = replica_tokens_per_s or (
            world.cfg.slots / TOKEN_TARGET_S * REPLICA_PART
        )
        self._models = {
            f'{name}@{version}': (name, version)
            for name, version in world.sizes
        }
        self._declared = {
            key: schema.Model(
                name=model[0],
                version=model[1],
                weights_bytes=world.sizes[model] - 1,
                kv_reserve_bytes=1,
            )
            for key, model in self._models.items()
        }
        self._planners = {
            name: plan.Planner(fleet.Fleet(), targets.Targets(each))
            for name in world.engines
        }
        self._meters = [demand.Meter() for _ in world.entries]
        self._demand = demand.FleetDemand()
        for name in world.engines:
            self._spread_news(name)
        world.loop.after(demand.SPREAD_EVERY_S, self._spread_demand)
        world.loop.after(world.scene.warm_up_s, self._tick)

    def record(self, index, req):
        """Count a request on the instance that got it."""
        key = f'{req.model[0]}@{req.model[1]}'
        self._meters[index].record(key, req.tokens, self._world.loop.now)

    def want(self, model):
        """Ask the owners for a model without a replica."""
        for planner in self._planners.values():
            planner.want(f'{model[0]}@{model[1]}', self._world.loop.now)

    def _spread_demand(self):
        now = self._world.loop.now
        for entry, meter in zip(
            self._world.entries, self._meters, strict=True
        ):
            if entry.alive:
                self._demand.apply(entry.name, meter.value(now), 0.0, now)
        self._demand.drop_expired(now)
        self._world.loop.after(demand.SPREAD_EVERY_S, self._spread_demand)

    def _own(self, name):
        world, engine = self._world, self._world.engines[name]
        return decisions.OwnServer(
            name,
            engine.zone,
            world.cfg.accelerators,
            world.free_bytes(engine),
            tuple(
                decisions.Resident(
                    f'{m[0]}@{m[1]}',
                    world.sizes[m],
                    engine.ready_since.get(m, 0.0),
                )
                for m in sorted(engine.models)
            ),
            frozenset(f'{m[0]}@{m[1]}' for m in engine.loading),
            may_load=engine.alive,
            may_unload=engine.alive and world.store_up,
        )

    def _tick(self):
        world, now = self._world, self._world.loop.now
        live = sum(entry.alive for entry in world.entries)
        needs = {
            key: targets.Need(model, self._demand.forecast(key, live))
            for key, model in self._declared.items()
        }
        for name, planner in self._planners.items():
            engine = world.engines[name]
            if not engine.alive:
                continue
            decided = planner.plan(needs, {name: self._own(name)}, now)
            for unload in decided.unloads:
                model = self._models[unload.key]
                if unload.may_be_last or len(world.copies(model)) > 1:
                    world.unload(engine, model)
            for load in decided.loads:
                world.load(engine, self._models[load.key])
            self._spread_news(name)
        world.loop.after(PLAN_S, self._tick)

    def _spread_news(self, name):
        news = self._planners[name].describe(
            self._own(name), self._world.loop.now
        )
        for other, planner in self._planners.items():
            if other != name:
                self._world.loop.after(NEWS_LAG_S, planner.fleet.put, news)

    def engine_gone(self, name):
        """Forget an engine that the platform's list no longer shows."""
        for planner in self._planners.values():
            planner.fleet.drop(name)
