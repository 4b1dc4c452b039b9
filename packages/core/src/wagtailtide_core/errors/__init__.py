"""Kinds of errors and the responses that callers get for them."""
