"""What is known about whether a failed attempt ran."""

import enum

from wagtailtide_core.errors import kinds


class Progress(enum.IntEnum):
    """How far an attempt got, in the order in which it proceeds."""

    CONNECTING = 0
    CONNECTED = 1
    SENDING = 2
    RESPONDING = 3


# Kinds with which a backend server states that it did not run a request.
NOT_RUN_REFUSALS = frozenset(
    {'draining', 'model_not_resident', 'adapter_not_resident', 'over_capacity'}
)


def fate_of_failure(progress):
    """Return the fate of an attempt that ended without a response.

    Args:
        progress: How far the attempt got.

    Returns:
        NOT_RUN only if no byte of the request can have reached the backend
        server, else UNKNOWN.
    """
    if progress < Progress.SENDING:
        return kinds.Fate.NOT_RUN
    return kinds.Fate.UNKNOWN


def fate_of_refusal(stated):
    """Return the fate that a backend server states in an error response.

    Args:
        stated: Parsed body of the response.

    Returns:
        The stated fate, or None if the body states none.
    """
    error = stated.get('error') if isinstance(stated, dict) else None
    if not isinstance(error, dict):
        return None
    try:
        return kinds.Fate(error.get('fate'))
    except ValueError:
        return None


def may_attempt_again(fate, idempotent):
    """Return whether a request may be sent again after a failed attempt.

    Args:
        fate: Fate of the failed attempt.
        idempotent: Whether running the request twice is harmless.
    """
    return idempotent or fate is kinds.Fate.NOT_RUN
