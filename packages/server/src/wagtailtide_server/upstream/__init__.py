"""Requests to backend servers, with retries and stream resumption."""
