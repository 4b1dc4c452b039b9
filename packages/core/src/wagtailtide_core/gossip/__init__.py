"""Records that instances gossip, and how they are merged."""
