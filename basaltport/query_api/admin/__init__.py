"""Operators of the JSON API: their requests at any node, the HTTP for them, and the command line."""
