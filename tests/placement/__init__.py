"""Which replica holds which models."""
