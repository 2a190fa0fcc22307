"""A whole fleet behind routes on a developer's machine: controllers, proxies and stand-in replicas."""
