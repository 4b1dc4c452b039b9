"""Leases: sessions, observers, the roster of slots and server ownership."""
