"""Headers that are forwarded to backend servers and to callers."""

# All other headers, above all Authorization and cookies, are not forwarded.
# The Idempotency-Key is not a secret, and plain services can use it to detect
# duplicates themselves.
FORWARDED_REQUEST_HEADERS = frozenset(
    {
        b'accept',
        b'accept-language',
        b'content-language',
        b'content-type',
        b'idempotency-key',
        b'if-match',
        b'if-none-match',
        b'traceparent',
    }
)

# Connection-specific headers (RFC 9110, section 7.6.1) and headers that the
# instance sets itself.
DROPPED_RESPONSE_HEADERS = frozenset(
    {
        b'connection',
        b'content-length',
        b'date',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'server',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'x-load',
        b'x-request-id',
    }
)

USER_AGENT = (b'user-agent', b'wagtailtide')


def for_backend_server(received, request_id, secrets=()):
    """Build the headers of an attempt from an allow-list.

    Args:
        received: Pairs of the caller's headers, names in lower case.
        request_id: Id of this attempt.
        secrets: Byte strings that must not be forwarded; a header that
            contains one is dropped.

    Returns:
        A list of pairs. Host and Content-Length are added by the client.
    """
    forwarded = [
        (name, value)
        for name, value in received
        if name in FORWARDED_REQUEST_HEADERS
        and not any(secret in value for secret in secrets)
    ]
    return [*forwarded, USER_AGENT, (b'x-request-id', request_id.encode())]


def for_caller(received, request_id):
    """Build the headers of a response that is passed through to a caller.

    Args:
        received: Pairs of the backend server's headers, names in lower case.
        request_id: The caller's request id.
    """
    connection_options = {
        token.strip().lower()
        for name, value in received
        if name == b'connection'
        for token in value.split(b',')
    }
    forwarded = [
        (name, value)
        for name, value in received
        if name not in DROPPED_RESPONSE_HEADERS
        and name not in connection_options
    ]
    return [*forwarded, (b'x-request-id', request_id.encode())]
