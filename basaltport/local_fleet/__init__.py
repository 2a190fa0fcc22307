"""A whole fleet behind routes on a developer's machine: keepers, proxies and stand-in replicas."""
