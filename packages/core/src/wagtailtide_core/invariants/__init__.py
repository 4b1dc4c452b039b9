"""Assertions that stay on in production."""
