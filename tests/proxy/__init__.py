"""A request's way through a proxy."""
