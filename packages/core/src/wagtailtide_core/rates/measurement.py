"""CPU time of rate limiting by the number of organisations."""

from wagtailtide_core.document import schema
from wagtailtide_core.rates import grants
from wagtailtide_core.rates import limiter


def admit_s(organisations, timer, repeat=2000):
    """Return the mean time in seconds of one admission and settlement.

    Args:
        organisations: Number of organisations.
        timer: Function that returns the time in seconds.
        repeat: Number of admissions.
    """
    rate_limiter, names = _make_limiter(organisations)
    started = timer()
    for number in range(repeat):
        now = 100.0 + number
        charge = rate_limiter.admit(names[number % len(names)], 2, now)
        rate_limiter.settle(charge, 1, now + 0.5)
    return (timer() - started) / repeat


def grant_s(organisations, timer, repeat=2000):
    """Return the mean time in seconds of one grant by its donor.

    Args:
        organisations: Number of organisations.
        timer: Function that returns the time in seconds.
        repeat: Number of grants.
    """
    rate_limiter, names = _make_limiter(organisations)
    started = timer()
    for number in range(repeat):
        name = names[number % len(names)]
        rate_limiter.grant(name, 2, 100.0 + number, grants.GRANT_VALIDITY_S)
    return (timer() - started) / repeat


def _make_limiter(organisations):
    names = [f'org-{number}' for number in range(organisations)]
    rate_limiter = limiter.RateLimiter()
    rate_limiter.hold(frozenset(range(1024)), 1e9, 0.0)
    rate_limiter.configure(
        {n: schema.Organisation(n, 10.0, 100) for n in names}, 5.0
    )
    return rate_limiter, names
