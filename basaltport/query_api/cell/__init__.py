"""Copies of what each zone's replicas hold."""
