"""HTTP applications for callers and for administration."""
