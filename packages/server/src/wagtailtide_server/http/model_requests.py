"""Parsing and validation of requests to models."""

import dataclasses
import json

from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds

from wagtailtide_server.http import auth

PATHS = {
    '/v1/completions': 'prompt',
    '/v1/chat/completions': 'messages',
}
DEFAULT_MAX_TOKENS = 1_024
MAX_TOKENS_LIMIT = 1_000_000
BYTES_PER_PROMPT_TOKEN = 4

# Fields that an instance sets in its requests to engines.
_INTERNAL_FIELDS = ('adapter', 'priority', 'resume_offset')


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A validated request to a model.

    Attributes:
        model: The model.
        adapter: The adapter, or None.
        requested_model: Model and adapter as the caller named them.
        stream: Whether the caller wants a stream.
        max_tokens: Maximum number of tokens to generate.
        max_total_tokens: Estimated number of prompt tokens plus max_tokens.
        body: The caller's JSON object.
    """

    model: schema.Model
    adapter: schema.Adapter | None
    requested_model: str
    stream: bool
    max_tokens: int
    max_total_tokens: int
    body: dict


def _malformed(expected, got):
    return kinds.ServingError(
        kinds.ErrorKind.MALFORMED_REQUEST,
        f'expected {expected}, got {got}; correct the body',
    )


def parse_request(path, body, catalog, identity):
    """Parse and validate the body of a request to a model.

    Args:
        path: Path of the request.
        body: Body in bytes.
        catalog: The Catalog.
        identity: The caller's Identity.

    Returns:
        The ModelRequest.

    Raises:
        ServingError: If it is malformed or not allowed.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _malformed('a JSON body', f'invalid JSON ({exc})') from exc
    if not isinstance(value, dict):
        raise _malformed('a JSON object', type(value).__name__)
    for field in _INTERNAL_FIELDS:
        if field in value:
            raise _malformed(
                'the adapter as "model": "model:adapter" and the priority as '
                'X-Priority',
                f'the field "{field}"',
            )
    requested_model, model, adapter = _find_model(value, catalog, identity)
    if value.get('n', 1) != 1:
        raise _malformed('"n" to be 1', repr(value['n'])[:40])
    stream = value.get('stream', False)
    if not isinstance(stream, bool):
        raise _malformed('"stream" to be a boolean', repr(stream)[:40])
    max_tokens = _read_max_tokens(value)
    prompt_tokens = _estimate_prompt_tokens(path, value)
    return ModelRequest(
        model,
        adapter,
        requested_model,
        stream,
        max_tokens,
        prompt_tokens + max_tokens,
        value,
    )


def _find_model(value, catalog, identity):
    requested_model = value.get('model')
    if not isinstance(requested_model, str) or not requested_model:
        raise _malformed('"model" to be a name', repr(requested_model)[:80])
    model_name, colon, adapter_name = requested_model.partition(':')
    model = catalog.models.get(model_name)
    adapter = catalog.adapters.get((model_name, adapter_name))
    if model is None or (colon and adapter is None):
        raise kinds.ServingError(
            kinds.ErrorKind.UNKNOWN_MODEL,
            'expected a model of GET /v1/models, got '
            f'{requested_model!r:.100}; use one of those',
        )
    auth.check_allowed(identity, model.organisations, f'model {model.name}')
    if adapter is not None:
        auth.check_allowed(
            identity, adapter.organisations, f'adapter {requested_model}'
        )
    return requested_model, model, adapter


def _read_max_tokens(value):
    requested = value.get('max_tokens', value.get('max_completion_tokens'))
    if requested is None:
        return DEFAULT_MAX_TOKENS
    if isinstance(requested, bool) or not isinstance(requested, int):
        raise _malformed('"max_tokens" to be a number', repr(requested)[:40])
    if not 1 <= requested <= MAX_TOKENS_LIMIT:
        raise _malformed(
            f'"max_tokens" from 1 to {MAX_TOKENS_LIMIT}', repr(requested)[:40]
        )
    return requested


def _estimate_prompt_tokens(path, value):
    field = PATHS[path]
    prompt = value.get(field)
    if field == 'messages':
        if not isinstance(prompt, list) or not prompt:
            raise _malformed('"messages" to be a list', repr(prompt)[:40])
    elif not isinstance(prompt, str):
        raise _malformed('"prompt" to be a text', repr(prompt)[:40])
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    size = len(text.encode('utf-8', 'surrogatepass'))
    return max(1, -(-size // BYTES_PER_PROMPT_TOKEN))
