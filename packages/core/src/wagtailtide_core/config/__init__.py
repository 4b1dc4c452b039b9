"""Configuration in force, its lookup index and its freshness."""
