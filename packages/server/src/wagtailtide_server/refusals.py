"""Recent refusals, kept so that they can be explained."""

import collections
import dataclasses

import anyio

KEPT = 200


@dataclasses.dataclass(frozen=True)
class Refusal:
    """One request that was refused.

    Attributes:
        at: Monotonic time in seconds.
        request_id: The caller's request id.
        path: Path of the request.
        key_id: Id of its key, or None.
        kind: Kind of error.
        message: Message of the error.
        fate: Fate of the request.
    """

    at: float
    request_id: str
    path: str
    key_id: str | None
    kind: str
    message: str
    fate: str


class Refusals:
    """Bounded ring of refusals, with counts for each kind."""

    def __init__(self, kept=KEPT):
        self._ring = collections.deque(maxlen=kept)
        self.counts = collections.Counter()

    def record(self, exchange, error):
        """Add the refusal of a request."""
        self.counts[error.kind.value] += 1
        self._ring.append(
            Refusal(
                anyio.current_time(),
                exchange.request_id,
                exchange.head.path[:200],
                exchange.key_id,
                error.kind.value,
                error.message,
                error.fate.value,
            )
        )

    def recent(self, key_ids=None):
        """Return recent refusals as JSON objects, latest first.

        Args:
            key_ids: Only those of these keys, or None for all.
        """
        now = anyio.current_time()
        return [
            {
                'age_s': round(now - refusal.at, 3),
                'request_id': refusal.request_id,
                'path': refusal.path,
                'key_id': refusal.key_id,
                'kind': refusal.kind,
                'message': refusal.message,
                'fate': refusal.fate,
            }
            for refusal in reversed(self._ring)
            if key_ids is None or refusal.key_id in key_ids
        ]
