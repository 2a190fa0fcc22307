"""The replicated log: election, replication, membership, snapshots and their storage.

Comments refer to its safety rules by these labels. M1: a member gives one vote in each term and syncs it
before sending it; a leader has the newest log of a majority. M2: a read is answered after a majority
confirmed the leader since the read arrived. M3: a change is acknowledged once it is committed, and entries of
older terms are committed only by a later entry of the leader's term. M4: the leader lease is shorter than the
time for which members refuse their votes. M5: a shard has one owner; its lease starts when it sent the
acknowledgement that renewed it, and its fencing token is the log index that assigned the shard. M6: a log has
no gaps, and the committed state never moves back. M7: a member's identity and votes are stored together; a
member with an empty folder is a new one, and a restarted member refuses its vote until the leases that it
acknowledged before have expired. M8: membership changes are made one at a time by joint consensus, learners
catch up before they vote, and leaving members vote until they are removed.
"""
