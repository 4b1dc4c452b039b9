"""Data shared by all attempts at one request."""

from collections.abc import Callable
import dataclasses
import secrets

from wagtailtide_core.errors import kinds
from wagtailtide_core.routing import choose


@dataclasses.dataclass
class AttemptHistory:
    """Whether the attempts at one request may have run it.

    Attributes:
        in_flight: Number of attempts of which bytes were sent and that have
            not ended.
        ended_may_have_run: Whether any attempt that has ended may have run
            the request.
    """

    in_flight: int = 0
    ended_may_have_run: bool = False

    @property
    def may_have_run(self):
        """Whether any attempt may have run the request."""
        return self.ended_may_have_run or self.in_flight > 0

    @property
    def fate(self):
        """Fate of the request over all attempts so far."""
        if self.may_have_run:
            return kinds.Fate.UNKNOWN
        return kinds.Fate.NOT_RUN


@dataclasses.dataclass(frozen=True)
class Call:
    """Data shared by all attempts at one request.

    Attributes:
        route: Input to the choice of a server.
        fingerprint: Fingerprint of the request.
        history: History of the attempts.
        secrets: Byte strings that no backend server may see.
        key_is_current: Returns whether the caller's key is still valid.
    """

    route: choose.RouteRequest
    fingerprint: str
    history: AttemptHistory
    secrets: tuple[bytes, ...] = ()
    key_is_current: Callable[[], bool] = lambda: True


def make_request_id():
    """Return a new id for an attempt, which callers cannot guess."""
    return secrets.token_hex(12)
