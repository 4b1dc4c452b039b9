"""Callers' keys: format, hashing, authentication and trust."""
