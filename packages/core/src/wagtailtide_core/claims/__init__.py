"""Claims that make a keyed non-idempotent request run at most once."""
