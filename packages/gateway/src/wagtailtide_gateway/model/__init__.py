"""Data types of the gateway: configuration, backend servers, requests."""
