"""Metrics of one run, and their spread over seeds."""

import collections
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True)
class Score:
    """Metrics of one run.

    An organisation's requests within rate are those that one fleet-wide
    token bucket would admit. A variant may admit others of its requests
    instead, so shares compare token sums (request costs) per organisation and
    are at most 1.

    Attributes:
        attained_per_accelerator: Requests answered completely within their
            targets, per accelerator and minute.
        attainment: Share of the tokens within rate whose requests were
            answered completely within their targets.
        moves: Model loads that were ordered.
        worst_attainment: Smallest attainment of an organisation.
        worst_share: Smallest share of an organisation's tokens within rate
            that was answered completely, in time or late.
        refused_within_rate: Share of the tokens within rate that got no
            complete answer.
        over_rate_answered: Tokens answered beyond the rate limits, as a
            share of the tokens within rate.
        most_adapter_fetches: Largest number of adapter fetches in flight.
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


def compute(sim):
    """Return the Score of a finished Simulation."""
    within, answered, attained = (collections.Counter() for _ in range(3))
    for req in sim.requests:
        within[req.organisation] += req.cost * req.within_rate
        answered[req.organisation] += req.cost * (req.ended_at is not None)
        attained[req.organisation] += req.cost * req.attained()
    accelerators = len(sim.engines) * sim.cfg.accelerators
    minutes = sim.scenario.duration_s / 60
    in_time = {o: min(attained[o], within[o]) for o in within}
    complete = {o: min(answered[o], within[o]) for o in within}
    total = sum(within.values())
    return Score(
        sum(r.attained() for r in sim.requests) / accelerators / minutes,
        sum(in_time.values()) / total,
        sim.moves,
        min(in_time[o] / within[o] for o in within),
        min(complete[o] / within[o] for o in within),
        1 - sum(complete.values()) / total,
        sum(answered[o] - complete[o] for o in within) / total,
        sim.adapter_store.max_in_flight,
    )


@dataclasses.dataclass(frozen=True)
class Spread:
    """Mean, smallest and largest value of a metric over seeds."""

    mean: float
    low: float
    high: float


def spreads(scores):
    """Return the Spread of each metric over the scores of several seeds."""
    result = {}
    for name in FIELDS:
        values = [getattr(s, name) for s in scores]
        result[name] = Spread(
            statistics.fmean(values), min(values), max(values)
        )
    return result
