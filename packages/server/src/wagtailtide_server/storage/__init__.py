"""Client of the platform: object API and lists of processes."""
