"""Deterministic tokens, derived from model, version, adapter and prompt.

All engines generate the same text for a request, so that a response can be
resumed on another engine at any offset. Tests compare the joined text with
`expected_text`.
"""

import json

import xxhash

# Range of the length of a response that `max_tokens` does not limit.
_MIN_LENGTH_TOKENS = 24
_LENGTH_RANGE_TOKENS = 256

_WORDS = (
    'tile',
    'rack',
    'blank',
    'motor',
    'fan',
    'stock',
    'letter',
    'claim',
    'order',
    'depot',
    'desk',
    'clerk',
    'dealer',
    'quote',
    'board',
    'issue',
)

_BYTES_PER_PROMPT_TOKEN = 4


def prompt_text(body):
    """Return the prompt of a completion or chat completion as a string."""
    if 'messages' in body:
        return json.dumps(body['messages'], sort_keys=True)
    prompt = body.get('prompt', '')
    return prompt if isinstance(prompt, str) else json.dumps(prompt)


def count_prompt_tokens(prompt):
    """Return the number of tokens in a prompt."""
    return max(1, -(-len(prompt.encode()) // _BYTES_PER_PROMPT_TOKEN))


def token_at(model, adapter, prompt, index):
    """Return the text of one token.

    Args:
        model: ``name@version``.
        adapter: Name of the adapter or None.
        prompt: Prompt text.
        index: Position in the response, from 0.
    """
    seed = f'{model}\0{adapter or ""}\0{prompt}\0{index}'
    word = _WORDS[xxhash.xxh64_intdigest(seed.encode()) % len(_WORDS)]
    # With the index, repeated and missing tokens show up in the text.
    return f'{word}{index} '


def response_length(model, adapter, prompt, max_tokens):
    """Return the number of tokens in the whole response."""
    seed = f'{model}\0{adapter or ""}\0{prompt}'
    natural_length = (
        _MIN_LENGTH_TOKENS
        + xxhash.xxh64_intdigest(seed.encode()) % _LENGTH_RANGE_TOKENS
    )
    return min(natural_length, max_tokens)


def expected_text(model, adapter, prompt, max_tokens):
    """Return the text of the whole response of any engine."""
    length = response_length(model, adapter, prompt, max_tokens)
    return ''.join(
        token_at(model, adapter, prompt, index) for index in range(length)
    )
