"""Kinds of errors and the response that a caller gets for each kind."""

import dataclasses
import enum


class Fate(enum.StrEnum):
    """What is known about whether a refused or failed request ran."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class RetryAfterRule(enum.StrEnum):
    """How the value of the Retry-After header is determined.

    Attributes:
        NONE: The response has no such header.
        FIXED: The value is the same for all errors of the kind.
        COMPUTED: The value is computed for each error.
    """

    NONE = 'none'
    FIXED = 'fixed'
    COMPUTED = 'computed'


class ErrorKind(enum.StrEnum):
    """All kinds of errors that a caller can get."""

    MALFORMED_REQUEST = 'malformed_request'
    REQUEST_TOO_LARGE = 'request_too_large'
    UNKNOWN_ROUTE = 'unknown_route'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNKNOWN_MODEL = 'unknown_model'
    KEY_MISSING = 'key_missing'
    KEY_INVALID = 'key_invalid'
    KEY_IN_WRONG_PLACE = 'key_in_wrong_place'
    KEY_WITHDRAWN = 'key_withdrawn'
    KEYS_UNCONFIRMED = 'keys_unconfirmed'
    FORBIDDEN = 'forbidden'
    RATE_EXCEEDED = 'rate_exceeded'
    RATE_UNCONFIRMED = 'rate_unconfirmed'
    RESUME_UNCONFIRMED = 'resume_unconfirmed'
    REQUEST_ABOVE_BURST = 'request_above_burst'
    OVERLOADED = 'overloaded'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    MODEL_LOADING = 'model_loading'
    NO_BACKEND_SERVER = 'no_backend_server'
    BACKEND_SERVER_ERROR = 'backend_server_error'
    BACKEND_SERVER_SILENT = 'backend_server_silent'
    STREAM_BROKEN = 'stream_broken'
    IDEMPOTENCY_KEY_INVALID = 'idempotency_key_invalid'
    BODY_MISMATCH = 'body_mismatch'
    STILL_RUNNING = 'still_running'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CLAIMS_UNAVAILABLE = 'claims_unavailable'
    REQUEST_QUARANTINED = 'request_quarantined'
    SHUTTING_DOWN = 'shutting_down'
    NOT_READY = 'not_ready'
    INTERNAL = 'internal'


@dataclasses.dataclass(frozen=True)
class Answer:
    """Response to a caller for one kind of error.

    Attributes:
        status: HTTP status.
        fate: Default fate; a `ServingError` may have a more precise one.
        may_retry: Whether the caller may send the same request again.
        retry_after: Rule for the Retry-After header.
        retry_after_s: Value in seconds by the FIXED rule. By the COMPUTED
            rule, the value if an error has none.
    """

    status: int
    fate: Fate
    may_retry: bool
    retry_after: RetryAfterRule = RetryAfterRule.NONE
    retry_after_s: int = 0


def _not_retryable(status):
    return Answer(status, Fate.NOT_RUN, may_retry=False)


def _retry_after(status, retry_after_s):
    return Answer(
        status, Fate.NOT_RUN, True, RetryAfterRule.FIXED, retry_after_s
    )


def _retry_after_computed(status):
    return Answer(status, Fate.NOT_RUN, True, RetryAfterRule.COMPUTED, 1)


ANSWERS = {
    ErrorKind.MALFORMED_REQUEST: _not_retryable(400),
    ErrorKind.REQUEST_TOO_LARGE: _not_retryable(413),
    ErrorKind.UNKNOWN_ROUTE: _not_retryable(404),
    ErrorKind.METHOD_NOT_ALLOWED: _not_retryable(405),
    ErrorKind.UNKNOWN_MODEL: _not_retryable(404),
    ErrorKind.KEY_MISSING: _not_retryable(401),
    ErrorKind.KEY_INVALID: _not_retryable(401),
    ErrorKind.KEY_IN_WRONG_PLACE: _not_retryable(400),
    # Sent within a stream that had begun when the key was withdrawn.
    ErrorKind.KEY_WITHDRAWN: Answer(401, Fate.UNKNOWN, may_retry=False),
    ErrorKind.KEYS_UNCONFIRMED: _retry_after(503, 5),
    ErrorKind.FORBIDDEN: _not_retryable(403),
    ErrorKind.RATE_EXCEEDED: _retry_after_computed(429),
    ErrorKind.RATE_UNCONFIRMED: _retry_after_computed(503),
    ErrorKind.RESUME_UNCONFIRMED: _retry_after_computed(503),
    ErrorKind.REQUEST_ABOVE_BURST: _not_retryable(413),
    ErrorKind.OVERLOADED: _retry_after_computed(503),
    ErrorKind.DEADLINE_UNREACHABLE: _retry_after_computed(503),
    ErrorKind.MODEL_LOADING: _retry_after_computed(503),
    ErrorKind.NO_BACKEND_SERVER: _retry_after(503, 2),
    ErrorKind.BACKEND_SERVER_ERROR: Answer(502, Fate.UNKNOWN, True),
    ErrorKind.BACKEND_SERVER_SILENT: Answer(504, Fate.UNKNOWN, True),
    ErrorKind.STREAM_BROKEN: Answer(502, Fate.UNKNOWN, True),
    ErrorKind.IDEMPOTENCY_KEY_INVALID: _not_retryable(400),
    ErrorKind.BODY_MISMATCH: _not_retryable(422),
    # This submission did not run; an earlier one with the key is running.
    ErrorKind.STILL_RUNNING: _retry_after(409, 1),
    ErrorKind.OUTCOME_UNKNOWN: Answer(409, Fate.UNKNOWN, may_retry=False),
    ErrorKind.CLAIMS_UNAVAILABLE: _retry_after(503, 5),
    ErrorKind.REQUEST_QUARANTINED: _not_retryable(422),
    ErrorKind.SHUTTING_DOWN: _retry_after(503, 1),
    ErrorKind.NOT_READY: _retry_after(503, 1),
    ErrorKind.INTERNAL: Answer(500, Fate.UNKNOWN, may_retry=False),
}


class ServingError(Exception):
    """Error that a caller gets as a response.

    Attributes:
        kind: ErrorKind.
        message: What was expected, what was received and what to do.
        fate: What is known about whether the request ran.
        retry_after_s: Time in seconds after which the caller may send the
            request again, or None.
    """

    def __init__(self, kind, message, *, fate=None, retry_after_s=None):
        super().__init__(f'{kind}: {message}')
        answer = ANSWERS[kind]
        self.kind = kind
        self.message = message
        self.fate = fate if fate is not None else answer.fate
        self.retry_after_s = retry_after_s
        if retry_after_s is None and answer.retry_after_s:
            self.retry_after_s = answer.retry_after_s

    @property
    def answer(self):
        """The `Answer` for this kind of error."""
        return ANSWERS[self.kind]
