"""Closed list of error kinds and the answers they give."""
