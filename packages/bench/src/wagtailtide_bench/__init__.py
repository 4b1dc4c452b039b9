"""Benchmarks and soak tests."""
