"""Client of the platform: stored objects and lists of processes."""
