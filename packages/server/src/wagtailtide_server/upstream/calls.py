"""What all attempts at one request have in common."""

from collections.abc import Callable
import dataclasses
import secrets

from wagtailtide_core.errors import kinds
from wagtailtide_core.routing import choose


@dataclasses.dataclass
class History:
    """What is known of the attempts at one request.

    Attributes:
        sent: Attempts of which bytes were sent and that go on.
        unsettled: Whether any attempt that ended may have run it.
    """

    sent: int = 0
    unsettled: bool = False

    @property
    def may_have_run(self):
        """Whether any attempt may have run the request."""
        return self.unsettled or self.sent > 0

    @property
    def fate(self):
        """The fate of the request as a whole so far."""
        if self.may_have_run:
            return kinds.Fate.UNKNOWN
        return kinds.Fate.NOT_RUN


@dataclasses.dataclass(frozen=True)
class Call:
    """What all attempts at one request have in common.

    Attributes:
        route: What a choice of server depends on.
        mark: Fingerprint of the request.
        history: What is known of the attempts.
        secrets: Byte strings that no backend server may see.
        key_is_current: Returns whether the caller's key is still valid.
    """

    route: choose.RouteRequest
    mark: str
    history: History
    secrets: tuple[bytes, ...] = ()
    key_is_current: Callable[[], bool] = lambda: True


def make_request_id():
    """Return a new id of an attempt, not guessable by callers."""
    return secrets.token_hex(12)
