"""How long keys and configuration are trusted without confirmation."""

import dataclasses

# Share of the key withdrawal time for which keys are trusted after the last
# confirmation. The rest allows for a store that reports changes to its watches
# up to a second late.
KEY_TRUST_SHARE = 0.76

# Largest age of the configuration at which an unknown route or key is
# rejected. An older configuration may lack a recent change, so the caller is
# asked to retry.
MAX_REJECTION_AGE_S = 1.5

# Age of the configuration at which an instance other than the leader reads it
# itself. The others get the age from the leader, so this happens only if the
# leader's confirmations stop.
FOLLOWER_REFRESH_AGE_S = 2.4

# Age of the configuration at which the leader reads it again, at most and at
# least. In a large fleet its confirmations are further apart, so that they
# have to be younger.
MAX_LEADER_REFRESH_AGE_S = 0.8
MIN_LEADER_REFRESH_AGE_S = 0.2

# Seconds that a read by the leader and an exchange take at most in a calm
# fleet.
CONFIRMATION_DELAY_S = 0.4


def refresh_age_s(is_leader, exchange_interval_s):
    """Return the age of the configuration at which it is read again.

    Args:
        is_leader: Whether the instance is the leader.
        exchange_interval_s: Seconds between two full exchanges.
    """
    if not is_leader:
        return FOLLOWER_REFRESH_AGE_S
    spare_s = (
        FOLLOWER_REFRESH_AGE_S - exchange_interval_s - CONFIRMATION_DELAY_S
    )
    return min(
        MAX_LEADER_REFRESH_AGE_S, max(MIN_LEADER_REFRESH_AGE_S, spare_s)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Time at which the configuration in force was known to be the newest.

    Attributes:
        confirmed_at: Time in seconds on a clock that includes suspended time,
            None if it was never confirmed.
    """

    confirmed_at: float | None

    def age_s(self, now):
        """Return the age in seconds, infinite without a confirmation."""
        if self.confirmed_at is None:
            return float('inf')
        return now - self.confirmed_at


def key_trust_s(key_withdrawal_s):
    """Return the age in seconds up to which known keys are trusted."""
    return key_withdrawal_s * KEY_TRUST_SHARE


def may_trust_keys(age_s, key_withdrawal_s):
    """Return whether known keys are trusted at a configuration age.

    Args:
        age_s: Age of the configuration in seconds.
        key_withdrawal_s: Seconds after which a withdrawn key must no longer
            be accepted.
    """
    return age_s <= key_trust_s(key_withdrawal_s)


def may_reject_unknown(age_s):
    """Return whether an unknown route or key may be rejected."""
    return age_s <= MAX_REJECTION_AGE_S
