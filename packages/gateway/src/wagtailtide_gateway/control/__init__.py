"""Control plane of an instance: configuration, servers, leader, engines."""
