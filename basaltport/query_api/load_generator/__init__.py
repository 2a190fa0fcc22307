"""Offers a demand to a fleet on the older path and holds its answers against the replicas' record."""
