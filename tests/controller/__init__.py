"""The controller: operators' requests, shard ownership, agreement as controllers run it."""
