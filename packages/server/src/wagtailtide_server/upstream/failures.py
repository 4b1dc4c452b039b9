"""How an attempt at a backend server can fail."""

import enum


class FailureKind(enum.StrEnum):
    """Kinds of failed attempts."""

    CONNECTION_REFUSED = 'connection_refused'
    CONNECT_FAILED = 'connect_failed'
    BROKEN = 'broken'
    SILENT = 'silent'
    WRONG_RESPONSE = 'wrong_response'
    REFUSED = 'refused'
    ERROR_STATUS = 'error_status'


NEVER_CONNECTED = frozenset(
    {FailureKind.CONNECTION_REFUSED, FailureKind.CONNECT_FAILED}
)


class AttemptError(Exception):
    """One attempt at a backend server failed.

    Attributes:
        kind: What happened.
        fate: Whether the request ran.
        detail: Text for logs and messages.
        refusal: Kind of error that the backend server stated, or None.
        status: HTTP status of the response, or None.
    """

    def __init__(self, kind, fate, detail, *, refusal=None, status=None):
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.fate = fate
        self.detail = detail
        self.refusal = refusal
        self.status = status
