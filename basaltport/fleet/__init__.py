"""The feed from the leading controller to all proxies: the agreed state and the rows of replicas."""
