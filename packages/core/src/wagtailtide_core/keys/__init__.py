"""API keys of callers: format, hashing, authentication and trust."""
