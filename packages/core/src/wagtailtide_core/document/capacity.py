"""Estimate whether a fleet has the capacity that documents require."""

from wagtailtide_core.document import schema

MS_PER_S = 1000


def model_bytes(model):
    """Return the accelerator memory of one replica in bytes."""
    return model.weights_bytes + model.kv_reserve_bytes


def model_memory_bytes(server):
    """Return the memory of an engine in bytes that models may use."""
    return server.memory_bytes - server.adapter_pool_bytes


def fits(model, server):
    """Return whether one replica fits on an empty engine."""
    return (
        model_bytes(model) <= model_memory_bytes(server)
        and model.accelerators <= server.accelerators
    )


def unplaced_replicas(models, engines):
    """Return the models whose ``min_replicas`` do not fit on the engines.

    Replicas are placed by size, largest first. Each is placed on the engine
    with the most free memory that has no replica of the model yet. This is a
    heuristic: a returned model may fit if replicas are placed in another way.

    Args:
        models: Models to place.
        engines: Engines to place them on.
    """
    free_bytes = {
        engine.name: model_memory_bytes(engine) for engine in engines
    }
    unplaced = []
    for model in sorted(models, key=lambda m: (-model_bytes(m), m.name)):
        usable = [engine.name for engine in engines if fits(model, engine)]
        usable.sort(key=lambda name: (-free_bytes[name], name))
        chosen = usable[: model.min_replicas]
        size = model_bytes(model)
        if len(chosen) < model.min_replicas or any(
            free_bytes[name] < size for name in chosen
        ):
            unplaced.append(model)
            continue
        for name in chosen:
            free_bytes[name] -= size
    return unplaced


def fleet_tokens_per_s(engines, targets):
    """Estimate the tokens a second that all engines generate together.

    Assumes that each slot generates one token in the time that the interactive
    class has as target between tokens.

    Args:
        engines: Engines.
        targets: `schema.Targets`.
    """
    per_slot = MS_PER_S / targets.interactive.between_tokens_ms
    return per_slot * sum(engine.slots for engine in engines)


def check_replicas(chk):
    """Warn of models whose replicas do not fit on the engines."""
    unplaced = unplaced_replicas(
        [model for doc in chk.all_documents for model in doc.models],
        _engines(chk),
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
    """Warn if the rates of the organisations exceed the fleet's estimate."""
    total = sum(
        org.rate_tokens_per_s
        for doc in chk.all_documents
        for org in doc.organisations
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
        for doc in chk.all_documents
        for server in doc.backend_servers
        if server.kind is schema.ServerKind.ENGINE
    ]
