"""Runs a complete fleet on a developer's machine: controllers, a proxy and stand-in replicas."""
