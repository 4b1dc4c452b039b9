"""Serving path over typed ports: callers, backend servers, a store."""
