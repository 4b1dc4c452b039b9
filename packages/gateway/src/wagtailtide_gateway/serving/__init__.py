"""From a request of a caller to its answer."""
