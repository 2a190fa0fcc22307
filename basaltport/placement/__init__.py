"""Placement of models on replicas: decided by the leading controller, carried out by orders to replicas."""
