"""Simulated platform and backend servers, served over HTTP."""
