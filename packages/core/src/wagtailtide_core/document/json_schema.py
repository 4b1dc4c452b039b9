"""JSON schema of the document, for editors that complete and check."""

import json

import pydantic

from wagtailtide_core.document import schema


def render():
    """Return the JSON schema as text that ends with a newline."""
    value = pydantic.TypeAdapter(schema.Document).json_schema()
    return json.dumps(value, indent=2, sort_keys=True) + '\n'
