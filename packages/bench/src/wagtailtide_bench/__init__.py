"""Measuring runs and soak tests."""
