"""Error responses to callers."""

import json
import math

from wagtailtide_core.errors import kinds


def error_body(error, request_id):
    """Return the JSON object of an error.

    Args:
        error: The ServingError.
        request_id: The caller's request id.
    """
    return {
        'error': {
            'kind': error.kind.value,
            'message': error.message,
            'fate': error.fate.value,
            'request_id': request_id,
            'retry_after_s': retry_after_s(error),
        }
    }


def retry_after_s(error):
    """Return whole seconds for Retry-After, or None."""
    if error.answer.retry_after is kinds.RetryAfterRule.NONE:
        return None
    return max(1, math.ceil(error.retry_after_s or 1))


def error_response(error, request_id):
    """Return status, headers and body of an error response.

    Args:
        error: The ServingError.
        request_id: The caller's request id.
    """
    headers = [
        (b'content-type', b'application/json'),
        (b'x-request-id', request_id.encode()),
    ]
    after = retry_after_s(error)
    if after is not None:
        headers.append((b'retry-after', str(after).encode()))
    if error.answer.status == 401:
        headers.append((b'www-authenticate', b'Bearer'))
    body = json.dumps(error_body(error, request_id)).encode()
    return error.answer.status, headers, body
