"""Tokens that depend only on model, version, adapter and prompt.

Any engine continues the text of another at any offset, so a test can compare
a resumed answer with `expected_text`.
"""

import json

import xxhash

# Natural length of an answer, in tokens.
_SHORTEST = 24
_LENGTHS = 256

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
    """Return the prompt of a completion or chat completion as one text."""
    if 'messages' in body:
        return json.dumps(body['messages'], sort_keys=True)
    prompt = body.get('prompt', '')
    return prompt if isinstance(prompt, str) else json.dumps(prompt)


def count_prompt_tokens(prompt):
    """Return the number of tokens of a prompt."""
    return max(1, -(-len(prompt.encode()) // _BYTES_PER_PROMPT_TOKEN))


def token_at(model, adapter, prompt, index):
    """Return the text of one token.

    Args:
        model: ``name@version``.
        adapter: Name of the adapter or None.
        prompt: Prompt text.
        index: Position in the answer, from 0.
    """
    seed = f'{model}\0{adapter or ""}\0{prompt}\0{index}'
    word = _WORDS[xxhash.xxh64_intdigest(seed.encode()) % len(_WORDS)]
    # The index makes a repeated or missing token visible in the text.
    return f'{word}{index} '


def answer_length(model, adapter, prompt, max_tokens):
    """Return the number of tokens of the whole answer."""
    seed = f'{model}\0{adapter or ""}\0{prompt}'
    natural = _SHORTEST + xxhash.xxh64_intdigest(seed.encode()) % _LENGTHS
    return min(natural, max_tokens)


def expected_text(model, adapter, prompt, max_tokens):
    """Return the whole answer that any engine gives."""
    length = answer_length(model, adapter, prompt, max_tokens)
    return ''.join(
        token_at(model, adapter, prompt, index) for index in range(length)
    )
