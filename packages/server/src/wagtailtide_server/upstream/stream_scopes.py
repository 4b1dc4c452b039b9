"""Cancellation of streams on servers that are being stopped."""

import contextlib

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds

from wagtailtide_server.upstream import failures


class StreamScopes:
    """Cancel scopes of the open streams on each server."""

    def __init__(self):
        self._scopes = {}

    @contextlib.contextmanager
    def cancellable(self, name):
        """Run the block so that cancel_overdue can cancel it.

        Args:
            name: Name of the server.

        Raises:
            AttemptError: If it was cancelled.
        """
        with anyio.CancelScope() as scope:
            scopes = self._scopes.setdefault(name, set())
            scopes.add(scope)
            try:
                yield
            finally:
                scopes.discard(scope)
        if scope.cancelled_caught:
            raise failures.AttemptError(
                failures.FailureKind.MOVED,
                kinds.Fate.UNKNOWN,
                'the backend server is being stopped',
            )

    def cancel_overdue(self, state, now):
        """Cancel the streams on a server if its grace period is over.

        Args:
            state: ServerState.
            now: Monotonic time in seconds.

        Returns:
            The number of streams that were cancelled.
        """
        stop = state.declared.stop
        if (
            state.stopping_since is None
            or stop.outlasting is not schema.StopOrder.RESUME_ELSEWHERE
            or now - state.stopping_since < stop.grace_s
        ):
            return 0
        scopes = self._scopes.get(state.declared.name, set())
        for scope in scopes:
            scope.cancel()
        return len(scopes)
