"""Stand-ins for the platform and for backend servers, served over HTTP."""
