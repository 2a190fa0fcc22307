"""Every time constant of the agreement among keepers, in milliseconds, with the order that safety needs.

The leader lease rests on one inequality: a member that acknowledged a heartbeat refuses its vote for
VOTE_REFUSAL after it heard it, and a leader trusts a heartbeat that a majority acknowledged only for
LEADER_LEASE after it was sent. As LEADER_LEASE < VOTE_REFUSAL, and a heartbeat is sent before it is heard, no
other member can be elected while the leader still trusts its lease. `CLOCK_DRIFT` is the share by which two
steady clocks may differ in rate. A test holds the order.
"""

HEARTBEAT = 200
"""Between two heartbeats of a leader."""

LEADER_LEASE = 450
"""How long after it was sent a heartbeat that a majority acknowledged lets its leader act alone."""

CLOCK_DRIFT = 0.05
"""Largest difference in rate of two steady clocks that the lease bears."""

VOTE_REFUSAL = 500
"""How long after it heard a leader, or started on an old disk, a member gives no other its vote."""

ELECTION_TIMEOUT = 600
"""Silence of the leader after which a member asks the others whether they hear it."""

RANK_STEP = 100
"""Members stand for election one after another, this far apart."""

FOUNDER_STEP = 350
"""The same, at the first founding."""

CAMPAIGN = 600
"""How long one campaign is kept up."""

ASK_AGAIN = 150
"""Between two requests for the same vote."""

FETCH_AGAIN = 500
"""Between two requests for the same copy of a newer log."""

ALL_FOUNDERS = 400
"""How long a founding waits for founders beyond a majority."""

ATTESTED = 1000
"""How long a campaign waits for members before it counts wiped ones as replaced."""

RESPONSIVE = 700
"""A member that acknowledged within this time counts as live."""

STEP_DOWN = 1000
"""A leader that no majority acknowledged for so long steps down."""

EXECUTOR_LEASE = 1000
"""How long a follower may carry out orders after an acknowledgement that the leader echoed."""

UNSETTLED = 4000
"""A leader that could not commit an entry of its own for so long steps down."""

SILENT = 2000
"""A member that was not heard for so long may be replaced or dropped."""

LEFT = 1000
"""A member that said it leaves and acknowledges or says hello this much later has come back."""

LEAVE_AGAIN = 300
"""A leaving member says so again this often while it waits to be removed."""

LEAVE_WAIT = 4000
"""How long a leaving member goes on voting until it is removed."""

LEARNER = 1500
"""A new member that said hello within this time is fed the log."""

PAUSED = 400
"""Between two ticks: more means that the process was frozen."""

WAKING = 500
"""After such a pause a leader waits so long before it steps down or judges others."""

DISK_STALL = 1000
"""A sync that takes longer than this and the time of its bytes makes a leader hand over."""

HELLO = 300
"""Between two greetings of a member that is not led."""

HELLO_LED = 5000
"""Between two greetings of a member that is led."""

HELLO_PASS_ON = 250
"""A greeting from a member that was silent for so long is passed on to the leader."""
