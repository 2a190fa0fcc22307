"""The agreement of the controllers: election, replication, membership, leases, and what is kept on disk."""
