"""Membership of the fleet, choice of links and failure detection."""
