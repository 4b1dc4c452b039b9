"""Rates of the organisations in the memory of one instance.

To be replaced by shares of the roster; it has the same interface.
"""

import dataclasses

from wagtailtide_core.errors import kinds


@dataclasses.dataclass(frozen=True)
class LocalCharge:
    """Tokens that were charged to an organisation."""

    organisation: str
    tokens: int


class LocalShares:
    """One token bucket for each organisation."""

    def __init__(self, plane):
        self._plane = plane
        self._levels = {}

    async def admit(self, org_name, tokens, now):
        """Charge tokens.

        Args:
            org_name: Name of the organisation.
            tokens: Estimated tokens.
            now: Monotonic time in seconds.

        Returns:
            The LocalCharge.

        Raises:
            ServingError: If the rate is exceeded.
        """
        org = self._plane.config.catalog.organisations[org_name]
        if tokens > org.burst_tokens:
            raise kinds.ServingError(
                kinds.ErrorKind.REQUEST_ABOVE_BURST,
                f'expected at most {org.burst_tokens} tokens in one request, '
                f'got {tokens}; ask for less',
            )
        level, at = self._levels.get(org_name, (org.burst_tokens, now))
        level = min(
            org.burst_tokens, level + (now - at) * org.rate_tokens_per_s
        )
        if level < tokens:
            self._levels[org_name] = (level, now)
            raise kinds.ServingError(
                kinds.ErrorKind.RATE_EXCEEDED,
                f'expected at most {org.rate_tokens_per_s:g} tokens a second '
                'with the burst used up, got more; come back later',
                retry_after_s=(tokens - level) / org.rate_tokens_per_s,
            )
        self._levels[org_name] = (level - tokens, now)
        return LocalCharge(org_name, tokens)

    def settle(self, charge, true_tokens, now):
        """Refund what a request did not use."""
        level, at = self._levels[charge.organisation]
        refund = max(0, charge.tokens - true_tokens)
        self._levels[charge.organisation] = (level + refund, at)

    def dump(self, now):
        """Return the level of each organisation's bucket in tokens."""
        return {
            name: {'level_tokens': level, 'age_s': round(now - at, 1)}
            for name, (level, at) in self._levels.items()
        }
