"""The simulator of the JSON API, and what rehearses and plans with it."""
