"""Fate of failed attempts, retry budget and circuit breaker."""
