"""Rate limits of organisations: buckets, shares, grants and the limiter."""
