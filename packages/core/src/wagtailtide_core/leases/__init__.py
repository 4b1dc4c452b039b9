"""Leases of instances: sessions, rate slots and server ownership."""
