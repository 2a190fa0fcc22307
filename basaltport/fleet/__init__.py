"""The feed from the leading keeper to all proxies: the agreed book and the rows of replicas."""
