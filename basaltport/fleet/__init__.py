"""The feed: the leading controller sends all proxies the replicated state and the rows of replicas."""
