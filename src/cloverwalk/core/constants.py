"""Named constants with units. Values that operators may change are in config.settings."""

TICK_S = 0.1
"""Interval at which a node checks its timers."""

OFFER_TIMEOUT_S = 1.5
"""An owner that sends no first chunk or refusal within this time has timed out."""

STALL_TIMEOUT_S = 5.0
"""A stream without output for this long is treated as lost."""

STORE_TIMEOUT_S = 1.0
"""Timeout of one try of a store call; after it, peers hold online results."""

COMMIT_TIMEOUT_S = 3.0
"""A commit that a caller waits for is retried for this long, to find out whether a try
without an answer took effect."""

OUTAGE_NOTICED_S = 1.0
"""After this long without a store answer, a call that certainly had no effect is not retried."""

STORE_RETRY_S = 0.25
"""Delay before a store operation is retried."""

PULL_TIMEOUT_S = 1.0
"""Replies to older pulls are rejected. Must be shorter than the lease."""

SUSPENDED_KEEP_S = 3.0
"""A suspended item stays at its replica for this long, then returns to its job owner."""

HOLD_TIMEOUT_S = 0.6
"""Time for peers to confirm that they hold a result."""

JOIN_TIMEOUT_S = 0.3
"""Time for a key's home node to answer; after it, the request runs without joining."""

CANCEL_REPLY_S = 3.0
"""A cancel that takes longer is answered as in progress."""

RETRY_AFTER_S = 1
"""Minimum Retry-After of a refusal."""

CHARS_PER_TOKEN = 6.0
"""Approximate token length, used only to estimate the size of a prefill."""
