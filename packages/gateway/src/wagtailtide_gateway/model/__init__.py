"""Types of what the gateway serves: deployment, servers, requests."""
