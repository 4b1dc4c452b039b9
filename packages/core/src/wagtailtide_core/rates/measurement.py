"""Measure the time of rate decisions as organisations grow in number."""

from wagtailtide_core.document import schema
from wagtailtide_core.rates import grants
from wagtailtide_core.rates import limiter


def admit_s(organisations, timer, repeat=2000):
    """Return the mean time of one admission and settlement.

    Args:
        organisations: Number of organisations.
        timer: Function that returns the time in seconds.
        repeat: Number of calls.
    """
    made, names = _limiter(organisations)
    started = timer()
    for number in range(repeat):
        now = 100.0 + number
        charge = made.admit(names[number % len(names)], 2, now)
        made.settle(charge, 1, now + 0.5)
    return (timer() - started) / repeat


def grant_s(organisations, timer, repeat=2000):
    """Return the mean time of one grant at its donor; see `admit_s`."""
    made, names = _limiter(organisations)
    started = timer()
    for number in range(repeat):
        name = names[number % len(names)]
        made.grant(name, 2, 100.0 + number, grants.VALID_S)
    return (timer() - started) / repeat


def _limiter(organisations):
    names = [f'org-{number}' for number in range(organisations)]
    made = limiter.RateLimiter()
    made.hold(frozenset(range(1024)), 1e9, 0.0)
    made.configure({n: schema.Organisation(n, 10.0, 100) for n in names}, 5.0)
    return made, names
