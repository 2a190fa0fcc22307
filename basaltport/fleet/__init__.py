"""The feed from the leading controller to all proxies: the agreed book and the rows of replicas."""
