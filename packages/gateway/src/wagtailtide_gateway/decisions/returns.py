"""When refused callers come back: spread over the time when there is room."""

# Longest time that is handed out. Callers honour a third of the time they
# have left, so a later turn would not be kept.
LONGEST_S = 8.0


class ReturnSchedule:
    """Turns of refused callers at one instance.

    Answers the load of a model that is being loaded or overloaded: callers
    that are all told the same time come back in one moment, find a copy with
    a few dozen slots and are refused once more.
    """

    def __init__(self):
        self._next_turn_at = {}

    def assign(self, key, ready_at, turns_per_s, now):
        """Return the seconds after which a caller should come back.

        Args:
            key: What the caller waits for, a service and a model.
            ready_at: Time at which there will be room for the first.
            turns_per_s: Callers that this instance may let come in a second.
            now: Time in seconds.
        """
        turn_at = max(ready_at, self._next_turn_at.get(key, ready_at))
        turn_at = min(turn_at, now + LONGEST_S)
        self._next_turn_at[key] = turn_at + 1.0 / turns_per_s
        return turn_at - now
