"""Budget that keeps retries to a fraction of the successes."""

RETRIES_PER_SUCCESS = 0.1

# Lets an instance that has served little traffic retry at all, and lets the
# requests of one crashed backend server move at once.
RESERVE_RETRIES = 20.0


class RetryBudget:
    """Token bucket that successes fill and retries empty."""

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
        """Credit one successful request."""
        self._level = min(self._reserve, self._level + self._ratio)

    def try_spend(self):
        """Take one retry out of the budget and return whether it was there."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
