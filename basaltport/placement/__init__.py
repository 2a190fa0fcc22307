"""Which replica holds which models: what is wanted, chosen, ordered and known."""
