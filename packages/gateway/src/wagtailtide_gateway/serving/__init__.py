"""The request path, from admission to the response to the caller."""
