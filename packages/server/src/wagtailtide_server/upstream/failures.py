"""Failures of attempts at backend servers."""

import contextlib
import enum
import errno

import httpx
from wagtailtide_core.retries import fate as fates


class FailureKind(enum.StrEnum):
    """Kinds of failed attempts.

    SILENT: a read or write timed out, or the probe of an unanswered call
    failed. WRONG_RESPONSE: the response is invalid, too long or belongs to
    another request. REFUSED: the server did not run the request, because it
    refused it or is being stopped. MOVED: the attempt was cancelled because
    its server is being stopped.
    """

    CONNECTION_REFUSED = 'connection_refused'
    CONNECT_FAILED = 'connect_failed'
    BROKEN = 'broken'
    SILENT = 'silent'
    WRONG_RESPONSE = 'wrong_response'
    REFUSED = 'refused'
    ERROR_STATUS = 'error_status'
    MOVED = 'moved'
    KEY_WITHDRAWN = 'key_withdrawn'


CONNECT_FAILURES = frozenset(
    {FailureKind.CONNECTION_REFUSED, FailureKind.CONNECT_FAILED}
)


class AttemptError(Exception):
    """One attempt at a backend server failed.

    Attributes:
        kind: Kind of failure.
        fate: What is known of whether the attempt ran.
        detail: Description for logs and error messages.
        error_kind: Kind of error that the backend server reported, or None.
        status: HTTP status of the response, or None.
    """

    def __init__(self, kind, fate, detail, *, error_kind=None, status=None):
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.fate = fate
        self.detail = detail
        self.error_kind = error_kind
        self.status = status


def _was_refused(exc):
    seen = set()
    pending = [exc]
    while pending:
        exc = pending.pop()
        if exc is None or id(exc) in seen:
            continue
        seen.add(id(exc))
        if getattr(exc, 'errno', None) == errno.ECONNREFUSED:
            return True
        pending += [exc.__cause__, exc.__context__]
        pending += getattr(exc, 'exceptions', ())
    return False


@contextlib.contextmanager
def mapped_errors(state):
    """Convert exceptions of the HTTP client into AttemptErrors.

    Args:
        state: Object with the attempt's ``progress``.

    Raises:
        AttemptError: In place of an exception of the HTTP client.
    """
    kind = FailureKind
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
        refused = _was_refused(exc)
        failed = kind.CONNECTION_REFUSED if refused else kind.CONNECT_FAILED
        raise _failure(failed, state, exc) from exc
    except (httpx.ReadTimeout, httpx.WriteTimeout) as exc:
        raise _failure(kind.SILENT, state, exc) from exc
    except httpx.TransportError as exc:
        raise _failure(kind.BROKEN, state, exc) from exc


def _failure(kind, state, exc):
    detail = str(exc) or type(exc).__name__
    return AttemptError(kind, fates.fate_of_failure(state.progress), detail)
