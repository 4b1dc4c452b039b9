"""Claims of idempotency keys: partition writers, service and peers' calls."""
