"""What an operator configures: its form, checks, patches, and the rules compiled from it."""
