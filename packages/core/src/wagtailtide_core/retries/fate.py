"""Determine whether a failed attempt may have run and may be repeated."""

import enum

from wagtailtide_core.errors import kinds


class Progress(enum.IntEnum):
    """Stages of an attempt in the order in which they are reached."""

    CONNECTING = 0
    CONNECTED = 1
    SENDING = 2
    RESPONDING = 3


# Error kinds by which a backend server says that it did not run a request.
NOT_RUN_REFUSALS = frozenset(
    {'draining', 'model_not_resident', 'adapter_not_resident', 'over_capacity'}
)


def fate_of_failure(progress):
    """Return the fate of an attempt that ended without a response.

    Args:
        progress: Stage that the attempt reached.

    Returns:
        NOT_RUN if no byte of the request can have reached the backend server,
        else UNKNOWN.
    """
    if progress < Progress.SENDING:
        return kinds.Fate.NOT_RUN
    return kinds.Fate.UNKNOWN


def fate_of_refusal(body):
    """Return the fate that an error response of a backend server states.

    Args:
        body: Body of the response, decoded from JSON.

    Returns:
        The stated fate, or None if the body states none.
    """
    error = body.get('error') if isinstance(body, dict) else None
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
