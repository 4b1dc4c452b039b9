"""Mapping of failed attempts and crashes to errors for callers."""

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes

from wagtailtide_server.upstream import failures


def wrong_response(detail):
    """Return the AttemptError for an unexpected response."""
    return failures.AttemptError(
        failures.FailureKind.WRONG_RESPONSE, kinds.Fate.UNKNOWN, detail
    )


def engine_error(error):
    """Return the AttemptError for an error event of an engine."""
    error = error if isinstance(error, dict) else {}
    return failures.AttemptError(
        failures.FailureKind.ERROR_STATUS,
        kinds.Fate.UNKNOWN,
        str(error.get('message', 'the engine reported an error'))[:200],
        error_kind=str(error.get('kind')),
    )


def is_client_error(exc):
    """Return whether a backend server rejected the request as invalid."""
    return (
        exc.kind is failures.FailureKind.ERROR_STATUS
        and exc.status is not None
        and 400 <= exc.status < 500
        and exc.status not in (408, 409, 429)
    )


def check_quarantine(dispatcher, call):
    """Refuse a request that was running in too many server crashes.

    Raises:
        ServingError: If the request is quarantined.
    """
    now = anyio.current_time()
    if (
        dispatcher.crashes.verdict(call.fingerprint, now)
        is crashes.Verdict.REFUSED
    ):
        known = sorted(dispatcher.crashes.crashes_of(call.fingerprint, now))
        listed = ', '.join(f'{c.server} ({c.boot_id})' for c in known)
        raise kinds.ServingError(
            kinds.ErrorKind.REQUEST_QUARANTINED,
            'this request was running on backend servers when they crashed: '
            f'{listed}; do not send it again unchanged',
            fate=call.history.fate,
        )


def key_withdrawn_error(fate):
    """Return the ServingError for a request whose key was withdrawn.

    Args:
        fate: Fate of the request over all attempts.
    """
    return kinds.ServingError(
        kinds.ErrorKind.KEY_WITHDRAWN,
        'the key was withdrawn while the request ran; use a current key',
        fate=fate,
    )


def error_for_caller(exc, fate):
    """Return the ServingError for a request whose last attempt failed.

    Args:
        exc: The AttemptError.
        fate: Fate of the request over all attempts.
    """
    kind = kinds.ErrorKind.BACKEND_SERVER_ERROR
    if exc.kind is failures.FailureKind.SILENT:
        kind = kinds.ErrorKind.BACKEND_SERVER_SILENT
    elif exc.kind in failures.CONNECT_FAILURES:
        kind = kinds.ErrorKind.NO_BACKEND_SERVER
    elif exc.error_kind == 'over_capacity':
        kind = kinds.ErrorKind.OVERLOADED
    retry_after_s = 1 if kind is kinds.ErrorKind.OVERLOADED else None
    return kinds.ServingError(
        kind,
        f'the backend server failed: {exc.detail}; send the request again',
        fate=fate,
        retry_after_s=retry_after_s,
    )
