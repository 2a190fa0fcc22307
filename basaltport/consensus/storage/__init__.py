"""What a member keeps on its disk: its identity, snapshots of its state, and the log between two of them."""
