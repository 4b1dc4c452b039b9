"""Requests for models of different size that share the batches of a fleet.

How the models of a batch slow each other is not known of real engines, so
the replays use several rules. Each returns the pace of every stream of a
batch from the paces that these have without the others.
"""

import functools

from tests.decisions import capacity_fleet

# Paces of the models: the range of the first deployment of 000-overview.md.
SMALLEST_PACE = 0.11
LARGEST_PACE = 1.0

# Models of one server.
SERVER_MODELS = 5

# Time that requests for larger models add to a stream's steps when they are
# nearly all of the batch's work.
LARGER_DRAG = 0.65


def mean_pace(paces):
    """All streams have steps in common, whose time is the mean."""
    return [sum(paces) / max(1, len(paces))] * len(paces)


def sum_of_models(paces):
    """All streams have steps in common, which run one model after another."""
    return [sum(set(paces))] * len(paces)


def slower_beside_larger(paces):
    """Streams keep their own pace, but larger models slow them."""
    total = sum(paces)
    return [
        pace * (1.0 + LARGER_DRAG * sum(p for p in paces if p > pace) / total)
        for pace in paces
    ]


def make_kinds(count):
    """Return the kinds of requests for a number of models.

    Larger models get fewer requests, with fewer events. Streams last 1.5 s
    on average.
    """
    kinds = []
    for i in range(count):
        pace = SMALLEST_PACE * (LARGEST_PACE / SMALLEST_PACE) ** (
            i / (count - 1)
        )
        long = round(48 / pace**0.6)
        # In an order in which neighbours in a server differ.
        name = f'model-{i * 7 % count}'
        kinds += [
            capacity_fleet.Kind(name, pace, 826, long, 1.0 / (1 + i)),
            capacity_fleet.Kind(name, pace, 2_368, long // 6, 0.5 / (1 + i)),
        ]
    total = sum(kind.weight for kind in kinds)
    return [
        capacity_fleet.Kind(
            k.model, k.pace, k.prompt, k.events, k.weight / total
        )
        for k in kinds
    ]


def models_of_server(index, count, held=SERVER_MODELS):
    """Return the models that a server holds, different ones in each."""
    return {f'model-{(2 * index + i) % count}' for i in range(held)}


async def replay(seconds, models=8, **kwargs):
    """Return a Fleet after a replay; other arguments are those of Fleet."""
    kwargs.setdefault('kinds', make_kinds(models))
    kwargs.setdefault(
        'models', functools.partial(models_of_server, count=models)
    )
    return await capacity_fleet.replay(seconds, **kwargs)
