"""Routing: load estimates and the choice of a backend server."""
