"""Frames and connections between members."""
