"""Control plane of an instance: configuration, members, leases, placement."""
