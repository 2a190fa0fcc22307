"""Time constants of the consensus among controllers, in milliseconds, and the order that safety requires.

The leader lease rests on one inequality: a member that acknowledged a heartbeat refuses its vote for
VOTE_REFUSAL after it heard it, and a leader relies on a heartbeat that a majority acknowledged only for
LEADER_LEASE after sending it. As LEADER_LEASE < VOTE_REFUSAL, and a heartbeat is sent before it is heard, no
other member can be elected while the leader relies on its lease. `CLOCK_DRIFT` is the fraction by which the
rates of two steady clocks may differ. A test checks the order.
"""

HEARTBEAT_INTERVAL = 200
"""Time between two heartbeats of a leader."""

LEADER_LEASE = 450
"""How long a leader may act after sending a heartbeat that a majority acknowledged."""

CLOCK_DRIFT = 0.05
"""Largest difference in rate between two steady clocks that the lease tolerates."""

VOTE_REFUSAL = 500
"""How long a member refuses its vote after it heard a leader, or after it started on a disk with a term."""

ELECTION_TIMEOUT = 600
"""Silence of the leader after which a member asks the others whether they hear it (pre-vote)."""

CANDIDATE_TURN = 100
"""Members take turns to stand for election; this is the time between two turns."""

FOUNDER_TURN = 350
"""Time between two turns at the founding of the cluster."""

CANDIDACY_TIMEOUT = 600
"""How long a candidacy lasts."""

VOTE_REQUEST_INTERVAL = 150
"""Time between two requests for the same vote."""

SNAPSHOT_REQUEST_INTERVAL = 500
"""Time between two requests for the same snapshot of a newer log."""

FOUNDERS_WAIT = 400
"""How long a founding waits for founders beyond a majority."""

DISK_LOSS_WAIT = 1000
"""How long a candidate waits for members before it replaces those with proven disk loss."""

RESPONSIVE_WITHIN = 700
"""A member that acknowledged within this time counts as live."""

STEP_DOWN_TIMEOUT = 1000
"""A leader that no majority acknowledged for this long steps down."""

EXECUTOR_LEASE = 1000
"""How long a follower may execute orders after an acknowledgement that the leader returned."""

FIRST_COMMIT_TIMEOUT = 4000
"""A leader that could not commit an entry of its own term for this long steps down."""

MEMBER_TIMEOUT = 2000
"""A member that was not heard for this long may be replaced or removed."""

RETURN_AFTER_LEAVING = 1000
"""A leaving member that is heard this long after its announcement has returned."""

LEAVING_NOTICE_INTERVAL = 300
"""Time between two announcements of a leaving member that waits to be removed."""

LEAVING_TIMEOUT = 4000
"""How long a leaving member keeps voting if it is not removed."""

LEARNER_HELLO_WINDOW = 1500
"""A new member that said hello within this time becomes a learner."""

PAUSE_THRESHOLD = 400
"""A longer time between two ticks means that the process was paused."""

PAUSE_GRACE = 500
"""After a pause a leader waits this long before it steps down or judges other members."""

DISK_STALL_LIMIT = 1000
"""A sync that takes longer than this plus the time for its bytes makes a leader hand over."""

HELLO_INTERVAL = 300
"""Time between two Hello messages of a member without a leader."""

HELLO_INTERVAL_LED = 5000
"""Time between two Hello messages of a member with a leader."""

HELLO_FORWARD_AFTER = 250
"""A Hello from a member that was silent for this long is forwarded to the leader."""
