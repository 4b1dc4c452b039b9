"""Claims of idempotency keys, written to the store by partition."""
