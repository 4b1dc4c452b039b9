"""Estimate whether a fleet can do what the documents ask of it."""

from wagtailtide_core.document import schema

MS_PER_S = 1000


def model_bytes(model):
    """Return the accelerator memory of one replica, in bytes."""
    return model.weights_bytes + model.kv_reserve_bytes


def model_room(server):
    """Return the memory of an engine that models may use, in bytes."""
    return server.memory_bytes - server.adapter_pool_bytes


def fits(model, server):
    """Tell whether one replica fits an empty engine."""
    return (
        model_bytes(model) <= model_room(server)
        and model.accelerators <= server.accelerators
    )


def unplaced_replicas(models, engines):
    """Return the models whose ``min_replicas`` find no room.

    Places the largest replicas first, each on the emptiest engine that fits
    and has none of the model yet. This is a heuristic: a model in the result
    may still fit with a better arrangement.
    """
    free = {engine.name: model_room(engine) for engine in engines}
    unplaced = []
    for model in sorted(models, key=lambda m: (-model_bytes(m), m.name)):
        usable = [engine.name for engine in engines if fits(model, engine)]
        usable.sort(key=lambda name: (-free[name], name))
        chosen = usable[: model.min_replicas]
        size = model_bytes(model)
        if len(chosen) < model.min_replicas or any(
            free[name] < size for name in chosen
        ):
            unplaced.append(model)
            continue
        for name in chosen:
            free[name] -= size
    return unplaced


def fleet_tokens_per_s(engines, targets):
    """Estimate the tokens a second of all engines together.

    Each slot is taken to give one token in the interactive class's target
    time between tokens.
    """
    per_slot = MS_PER_S / targets.interactive.between_tokens_ms
    return per_slot * sum(engine.slots for engine in engines)


def check_replicas(chk):
    """Warn of replicas that find no room."""
    unplaced = unplaced_replicas(
        [model for doc in chk.all for model in doc.models], _engines(chk)
    )
    names = {model.name for model in unplaced}
    for index, model in enumerate(chk.doc.models):
        if model.name in names:
            chk.warn(
                ('models', index, 'min_replicas'),
                'room for the replicas of all models together',
                f'no room found for {model.min_replicas} of {model.name}',
                'lower min_replicas or add engines',
            )


def check_rates(chk):
    """Warn if the organisations' rates exceed what the fleet can give."""
    total = sum(
        org.rate_tokens_per_s for doc in chk.all for org in doc.organisations
    )
    engines = _engines(chk)
    limit = fleet_tokens_per_s(engines, chk.doc.targets)
    if engines and total > limit:
        chk.warn(
            ('organisations',),
            f'rates of at most about {limit:,.0f} tokens/s in total, which '
            'the engines give within the interactive target',
            f'{total:,.0f}',
            'lower rates or add engines; requests within rate may be refused',
        )


def _engines(chk):
    return [
        server
        for doc in chk.all
        for server in doc.backend_servers
        if server.kind is schema.ServerKind.ENGINE
    ]
