"""Which replica holds which models: decided by the leading controller, carried out by orders to replicas."""
