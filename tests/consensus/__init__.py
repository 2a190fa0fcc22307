"""Agreement among members: election, replication, membership, the disk."""
