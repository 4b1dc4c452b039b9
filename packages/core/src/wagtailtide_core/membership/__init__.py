"""Members of the fleet, their links and failure detection."""
