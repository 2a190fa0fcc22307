"""The JSON API of queries."""
