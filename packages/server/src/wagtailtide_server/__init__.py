"""The wagtailtide server."""
