"""Background tasks of one instance."""
