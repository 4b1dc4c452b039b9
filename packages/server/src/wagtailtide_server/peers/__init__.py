"""Messages, connections and calls between instances."""
