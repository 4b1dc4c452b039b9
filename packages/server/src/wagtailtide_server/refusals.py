"""Recent refused requests, for the dump of an instance."""

import collections
import dataclasses

import anyio

MAX_REFUSALS = 200


@dataclasses.dataclass(frozen=True)
class Refusal:
    """One request that was refused.

    Attributes:
        refused_at: Monotonic time in seconds.
        request_id: The caller's request id.
        path: Path of the request, cut to 200 characters.
        key_id: Id of the API key, or None.
        kind: Kind of the error.
        message: Message of the error.
        fate: Whether the request ran, as in kinds.Fate.
    """

    refused_at: float
    request_id: str
    path: str
    key_id: str | None
    kind: str
    message: str
    fate: str


class Refusals:
    """The most recent refusals, and counts of all refusals by kind."""

    def __init__(self, max_refusals=MAX_REFUSALS):
        self._recent = collections.deque(maxlen=max_refusals)
        self.counts = collections.Counter()

    def record(self, exchange, error):
        """Record the refusal of a request."""
        self.counts[error.kind.value] += 1
        self._recent.append(
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
        """Return the recent refusals as JSON objects, latest first.

        Args:
            key_ids: Ids of the keys to include, or None for all.
        """
        now = anyio.current_time()
        return [
            {
                'age_s': round(now - refusal.refused_at, 3),
                'request_id': refusal.request_id,
                'path': refusal.path,
                'key_id': refusal.key_id,
                'kind': refusal.kind,
                'message': refusal.message,
                'fate': refusal.fate,
            }
            for refusal in reversed(self._recent)
            if key_ids is None or refusal.key_id in key_ids
        ]
