"""Budget that limits retries to a fraction of the successful requests."""

RETRIES_PER_SUCCESS = 0.1

# Allows retries on an instance that has served little traffic, and allows all
# requests of a crashed backend server to move at once.
RESERVE_RETRIES = 20.0


class RetryBudget:
    """Token bucket that successful requests fill and retries empty.

    Args:
        ratio: Retries that one successful request adds.
        reserve_retries: Capacity and initial level in retries.
    """

    def __init__(
        self, ratio=RETRIES_PER_SUCCESS, reserve_retries=RESERVE_RETRIES
    ):
        self._ratio = ratio
        self._reserve = reserve_retries
        self._level = reserve_retries

    @property
    def level(self):
        """Retries that are allowed now."""
        return self._level

    def record_success(self):
        """Add the share of one successful request to the budget."""
        self._level = min(self._reserve, self._level + self._ratio)

    def try_spend(self):
        """Spend one retry; return whether the budget allowed it."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
