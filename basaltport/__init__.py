"""A router and placer for fleets that serve many language models."""
