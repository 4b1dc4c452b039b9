"""How long keys and configuration may be believed without confirmation."""

import dataclasses

# Part of the time to a withdrawn key's death for which a key is believed
# after the last confirmation. The rest covers a store that tells its watches
# of a change up to a second late.
BELIEVED_SHARE = 0.76

# Age of the configuration up to which an unknown route or key is refused for
# good. An older one may miss a change, so the caller is asked to come back.
CERTAIN_S = 1.5

# Age at which the duty holder reads the configuration again. The others hear
# the age from it, and read themselves only when it has grown beyond theirs.
HOLDER_ASKS_AFTER_S = 0.8
OTHERS_ASK_AFTER_S = 2.4


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """When the configuration in force was last known to be the newest.

    Attributes:
        confirmed_at: Time in seconds, suspended time included, or None.
    """

    confirmed_at: float | None

    def age_s(self, now):
        """Return the age in seconds, infinite if there is none."""
        if self.confirmed_at is None:
            return float('inf')
        return now - self.confirmed_at


def believed_s(key_withdrawal_s):
    """Return the age in seconds up to which keys are believed."""
    return key_withdrawal_s * BELIEVED_SHARE


def may_run_keyed(age_s, key_withdrawal_s):
    """Return whether a request with a known key may run."""
    return age_s <= believed_s(key_withdrawal_s)


def may_refuse_for_good(age_s):
    """Return whether an unknown route or key is certainly unknown."""
    return age_s <= CERTAIN_S
