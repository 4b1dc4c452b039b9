"""JSON schema of documents, for editors with completion and validation."""

import json

import pydantic

from wagtailtide_core.document import schema


def render():
    """Return the JSON schema of documents as text with a final newline."""
    value = pydantic.TypeAdapter(schema.Document).json_schema()
    return json.dumps(value, indent=2, sort_keys=True) + '\n'
