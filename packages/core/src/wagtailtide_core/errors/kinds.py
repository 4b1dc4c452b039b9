"""Closed list of error kinds and the table from kind to answer."""

import dataclasses
import enum


class Fate(enum.StrEnum):
    """What is known of whether a refused or failed request ran."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class RetryAfterRule(enum.StrEnum):
    """Where the value of the Retry-After header comes from."""

    NONE = 'none'
    FIXED = 'fixed'
    COMPUTED = 'computed'


class ErrorKind(enum.StrEnum):
    """Every kind of error that a caller can get."""

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
    """How one kind of error is answered.

    Attributes:
        status: HTTP status.
        fate: Default fate; an error may carry a more precise one.
        may_retry: Whether the caller may send the same request again.
        retry_after: Rule for the Retry-After header.
        retry_after_s: Value in seconds for the FIXED rule.
    """

    status: int
    fate: Fate
    may_retry: bool
    retry_after: RetryAfterRule = RetryAfterRule.NONE
    retry_after_s: int = 0


def _final(status):
    return Answer(status, Fate.NOT_RUN, may_retry=False)


def _later(status, retry_after_s):
    return Answer(
        status, Fate.NOT_RUN, True, RetryAfterRule.FIXED, retry_after_s
    )


def _computed(status):
    return Answer(status, Fate.NOT_RUN, True, RetryAfterRule.COMPUTED, 1)


ANSWERS = {
    ErrorKind.MALFORMED_REQUEST: _final(400),
    ErrorKind.REQUEST_TOO_LARGE: _final(413),
    ErrorKind.UNKNOWN_ROUTE: _final(404),
    ErrorKind.METHOD_NOT_ALLOWED: _final(405),
    ErrorKind.UNKNOWN_MODEL: _final(404),
    ErrorKind.KEY_MISSING: _final(401),
    ErrorKind.KEY_INVALID: _final(401),
    ErrorKind.KEY_IN_WRONG_PLACE: _final(400),
    # Sent inside a stream that was under way when the key was withdrawn.
    ErrorKind.KEY_WITHDRAWN: Answer(401, Fate.UNKNOWN, may_retry=False),
    ErrorKind.KEYS_UNCONFIRMED: _later(503, 5),
    ErrorKind.FORBIDDEN: _final(403),
    ErrorKind.RATE_EXCEEDED: _computed(429),
    ErrorKind.REQUEST_ABOVE_BURST: _final(413),
    ErrorKind.OVERLOADED: _computed(503),
    ErrorKind.DEADLINE_UNREACHABLE: _computed(503),
    ErrorKind.MODEL_LOADING: _computed(503),
    ErrorKind.NO_BACKEND_SERVER: _later(503, 2),
    ErrorKind.BACKEND_SERVER_ERROR: Answer(502, Fate.UNKNOWN, True),
    ErrorKind.BACKEND_SERVER_SILENT: Answer(504, Fate.UNKNOWN, True),
    ErrorKind.STREAM_BROKEN: Answer(502, Fate.UNKNOWN, True),
    ErrorKind.IDEMPOTENCY_KEY_INVALID: _final(400),
    ErrorKind.BODY_MISMATCH: _final(422),
    # The submission that is answered did not run; an earlier one is running.
    ErrorKind.STILL_RUNNING: _later(409, 1),
    ErrorKind.OUTCOME_UNKNOWN: Answer(409, Fate.UNKNOWN, may_retry=False),
    ErrorKind.CLAIMS_UNAVAILABLE: _later(503, 5),
    ErrorKind.REQUEST_QUARANTINED: _final(422),
    ErrorKind.SHUTTING_DOWN: _later(503, 1),
    ErrorKind.NOT_READY: _later(503, 1),
    ErrorKind.INTERNAL: Answer(500, Fate.UNKNOWN, may_retry=False),
}


class ServingError(Exception):
    """An error that is answered to a caller.

    Attributes:
        kind: Entry of the closed list.
        message: What was expected, what was got and what to do.
        fate: Whether the request ran.
        retry_after_s: Seconds after which to come back, or None.
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
        """The table's entry for this error's kind."""
        return ANSWERS[self.kind]
