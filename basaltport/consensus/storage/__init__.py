"""The disk of a member: its identity, snapshots of its state, and a write-ahead log."""
