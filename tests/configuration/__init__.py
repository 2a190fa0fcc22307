"""What an operator configures: read, checked, compiled."""
