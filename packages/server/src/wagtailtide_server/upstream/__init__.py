"""Requests to backend servers."""
