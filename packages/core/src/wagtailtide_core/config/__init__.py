"""Configuration in force and its lookup index."""
