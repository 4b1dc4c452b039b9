"""Figures of one run, and their spread over seeds."""

import collections
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True)
class Score:
    """Figures of one run.

    An organisation's requests within rate are those that one bucket for the
    whole fleet would admit. Any of its requests may be answered in place of
    another, so shares are of the tokens (cost) of each organisation, at most
    1.

    Attributes:
        attained_per_accelerator: Requests answered whole within their
            targets, for each accelerator and minute.
        attainment: Share of the tokens within rate that attained.
        moves: Loads that were ordered.
        worst_attainment: That share for the worst-served organisation.
        worst_share: Smallest share of an organisation's tokens within rate
            that was answered whole, whether in time or not.
        refused_within_rate: Share of the tokens within rate that got no
            whole answer.
        over_rate_answered: Tokens answered beyond the rates, as a share of
            the tokens within rate.
        most_adapter_fetches: Adapter fetches in flight at most.
    """

    attained_per_accelerator: float
    attainment: float
    moves: float
    worst_attainment: float
    worst_share: float
    refused_within_rate: float
    over_rate_answered: float
    most_adapter_fetches: float


FIELDS = tuple(f.name for f in dataclasses.fields(Score))


def score(world):
    """Return the Score of a run that has ended."""
    within, answered, attained = (collections.Counter() for _ in range(3))
    for req in world.requests:
        within[req.organisation] += req.cost * req.within_rate
        answered[req.organisation] += req.cost * (req.ended_at is not None)
        attained[req.organisation] += req.cost * req.attained()
    accelerators = len(world.engines) * world.cfg.accelerators
    minutes = world.scene.duration_s / 60
    in_time = {o: min(attained[o], within[o]) for o in within}
    whole = {o: min(answered[o], within[o]) for o in within}
    total = sum(within.values())
    return Score(
        sum(r.attained() for r in world.requests) / accelerators / minutes,
        sum(in_time.values()) / total,
        world.moves,
        min(in_time[o] / within[o] for o in within),
        min(whole[o] / within[o] for o in within),
        1 - sum(whole.values()) / total,
        sum(answered[o] - whole[o] for o in within) / total,
        world.adapter_store.most_in_flight,
    )


@dataclasses.dataclass(frozen=True)
class Spread:
    """Mean of a figure with its smallest and largest value over seeds."""

    mean: float
    low: float
    high: float


def spreads(scores):
    """Return the Spread of each figure over the scores of several seeds."""
    found = {}
    for name in FIELDS:
        values = [getattr(s, name) for s in scores]
        found[name] = Spread(
            statistics.fmean(values), min(values), max(values)
        )
    return found
