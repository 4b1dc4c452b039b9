"""Rates of organisations: buckets, shares, grants and the limiter."""
