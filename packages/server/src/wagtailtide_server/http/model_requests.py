"""Parsing and checking of requests to models."""

import dataclasses
import json

from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds

from wagtailtide_server.http import access as accesses

PATHS = {
    '/v1/completions': 'prompt',
    '/v1/chat/completions': 'messages',
}
DEFAULT_MAX_TOKENS = 1_024
MAX_MAX_TOKENS = 1_000_000
BYTES_PER_PROMPT_TOKEN = 4

# Fields with which an instance addresses an engine.
_OWN_FIELDS = ('adapter', 'priority', 'resume_offset')


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A checked request to a model.

    Attributes:
        model: The model.
        adapter: The adapter or None.
        named: Model as the caller named it.
        stream: Whether the caller wants a stream.
        max_tokens: Most tokens to generate.
        tokens: Most tokens that it can cost.
        body: The caller's JSON object.
    """

    model: schema.Model
    adapter: schema.Adapter | None
    named: str
    stream: bool
    max_tokens: int
    tokens: int
    body: dict


def _malformed(expected, got):
    return kinds.ServingError(
        kinds.ErrorKind.MALFORMED_REQUEST,
        f'expected {expected}, got {got}; correct the body',
    )


def parse_request(path, body, catalog, access):
    """Parse and check the body of a request to a model.

    Args:
        path: Path of the request.
        body: Body in bytes.
        catalog: The Catalog.
        access: The caller's Access.

    Returns:
        The ModelRequest.

    Raises:
        ServingError: If it is malformed or not allowed.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _malformed('a JSON body', f'another ({exc})') from exc
    if not isinstance(value, dict):
        raise _malformed('a JSON object', type(value).__name__)
    for field in _OWN_FIELDS:
        if field in value:
            raise _malformed(
                'the adapter as "model": "model:adapter" and the priority as '
                'X-Priority',
                f'the field "{field}"',
            )
    named, model, adapter = _find_model(value, catalog, access)
    if value.get('n', 1) != 1:
        raise _malformed('"n" to be 1', repr(value['n'])[:40])
    stream = value.get('stream', False)
    if not isinstance(stream, bool):
        raise _malformed('"stream" to be a boolean', repr(stream)[:40])
    max_tokens = _read_max_tokens(value)
    prompt_tokens = _estimate_prompt(path, value)
    return ModelRequest(
        model,
        adapter,
        named,
        stream,
        max_tokens,
        prompt_tokens + max_tokens,
        value,
    )


def _find_model(value, catalog, access):
    named = value.get('model')
    if not isinstance(named, str) or not named:
        raise _malformed('"model" to be a name', repr(named)[:80])
    model_name, colon, adapter_name = named.partition(':')
    model = catalog.models.get(model_name)
    adapter = catalog.adapters.get((model_name, adapter_name))
    if model is None or (colon and adapter is None):
        raise kinds.ServingError(
            kinds.ErrorKind.UNKNOWN_MODEL,
            f'expected a model of GET /v1/models, got {named!r:.100}; use '
            'one of those',
        )
    accesses.check_allowed(access, model.organisations, f'model {model.name}')
    if adapter is not None:
        accesses.check_allowed(
            access, adapter.organisations, f'adapter {named}'
        )
    return named, model, adapter


def _read_max_tokens(value):
    stated = value.get('max_tokens', value.get('max_completion_tokens'))
    if stated is None:
        return DEFAULT_MAX_TOKENS
    if isinstance(stated, bool) or not isinstance(stated, int):
        raise _malformed('"max_tokens" to be a number', repr(stated)[:40])
    if not 1 <= stated <= MAX_MAX_TOKENS:
        raise _malformed(
            f'"max_tokens" from 1 to {MAX_MAX_TOKENS}', repr(stated)[:40]
        )
    return stated


def _estimate_prompt(path, value):
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
