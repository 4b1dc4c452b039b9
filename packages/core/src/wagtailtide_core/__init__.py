"""Decisions of the wagtailtide serving system, free of I/O."""
