"""ASGI applications for callers and for administration."""
