"""The JSON API of queries: the path that was there before routes."""
