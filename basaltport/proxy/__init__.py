"""The proxy accepts clients' requests, sends each to a replica and passes on its response."""
