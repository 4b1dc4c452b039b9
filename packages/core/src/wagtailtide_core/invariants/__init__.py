"""Invariants that are also checked in production."""
