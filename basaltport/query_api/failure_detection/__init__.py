"""Heartbeats round a ring of members, and the duties that are taken from those who went silent."""
