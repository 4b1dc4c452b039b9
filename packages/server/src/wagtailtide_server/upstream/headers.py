"""Headers that go to backend servers and back to callers."""

# Everything else, above all Authorization and cookies, stays here. The
# Idempotency-Key is not a secret and lets a plain service detect duplicates
# by its own means.
TO_BACKEND_SERVER = frozenset(
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

# Headers of one connection (RFC 9110, section 7.6.1) and headers that the
# instance sets itself.
NOT_TO_CALLER = frozenset(
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
        secrets: Byte strings that must not be passed on; a header that
            contains one is left out.

    Returns:
        A list of pairs. Host and Content-Length are added by the client.
    """
    passed = [
        (name, value)
        for name, value in received
        if name in TO_BACKEND_SERVER
        and not any(secret in value for secret in secrets)
    ]
    return [*passed, USER_AGENT, (b'x-request-id', request_id.encode())]


def for_caller(received, request_id):
    """Build the headers of a passed-through response.

    Args:
        received: Pairs of the backend server's headers, names in lower case.
        request_id: The caller's request id.
    """
    named = {
        token.strip().lower()
        for name, value in received
        if name == b'connection'
        for token in value.split(b',')
    }
    passed = [
        (name, value)
        for name, value in received
        if name not in NOT_TO_CALLER and name not in named
    ]
    return [*passed, (b'x-request-id', request_id.encode())]
