"""Digests over ranges of keys, by which copies are compared and mended."""
