"""The taker's side of leases: sessions seen unchanged for their horizon."""

import dataclasses

from wagtailtide_core.rates import bucket

MARGIN_S = 1.0


def wait_s(horizon_s):
    """Return how long a value must be seen unchanged, in own seconds."""
    return horizon_s * bucket.CLOCK_DRIFT + MARGIN_S


@dataclasses.dataclass(frozen=True)
class _Seen:
    version: int | None
    first_received_at: float
    last_sent_at: float


class SessionObserver:
    """Versions of session objects that this instance itself has read."""

    def __init__(self):
        self._seen = {}

    def observe(self, name, version, sent_at, received_at):
        """Note one read.

        Args:
            name: Name of the session.
            version: Version of its object, None if there is none.
            sent_at: Own time at which the read was sent.
            received_at: Own time at which its answer arrived.
        """
        seen = self._seen.get(name)
        if seen is None or seen.version != version:
            self._seen[name] = _Seen(version, received_at, sent_at)
        else:
            last = max(seen.last_sent_at, sent_at)
            self._seen[name] = dataclasses.replace(seen, last_sent_at=last)

    def has_lapsed(self, name, horizon_s):
        """Return whether the value was unchanged for the whole horizon."""
        seen = self._seen.get(name)
        if seen is None:
            return False
        unchanged = seen.last_sent_at - seen.first_received_at
        return unchanged >= wait_s(horizon_s)

    def forget_all_but(self, names):
        """Forget sessions that are no longer observed."""
        self._seen = {n: s for n, s in self._seen.items() if n in names}
