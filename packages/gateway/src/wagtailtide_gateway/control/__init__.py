"""Beliefs of an instance: configuration, servers, duties, peers."""
