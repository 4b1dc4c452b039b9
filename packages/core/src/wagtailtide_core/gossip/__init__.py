"""Gossip between instances: records, merging and resynchronisation."""
