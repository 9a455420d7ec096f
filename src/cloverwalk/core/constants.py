"""Named constants with units. Values that operators may change are in config.settings."""

TICK_S = 0.1
"""How often a node looks at its timers."""

OFFER_TIMEOUT_S = 1.5
"""Without a first chunk or refusal in this time, an owner is asked no longer."""

STALL_TIMEOUT_S = 5.0
"""A stream that brings nothing for this long is taken for lost."""

STORE_TIMEOUT_S = 1.0
"""One try of a store call. Online results are held by peers when it brings no answer."""

COMMIT_TIMEOUT_S = 3.0
"""A commit that a caller waits for is tried again until then, to learn whether a try whose
answer was lost took effect."""

OUTAGE_NOTICED_S = 1.0
"""When the store has not answered for this long, a refused call is given up at once."""

STORE_RETRY_S = 0.25
"""Pause between tries of one store operation."""

PULL_TIMEOUT_S = 1.0
"""A reply to an older pull is refused. Must stay below the lease."""

SUSPENDED_KEEP_S = 3.0
"""A suspended item waits this long at its replica before it goes back to its job owner."""

HOLD_TIMEOUT_S = 0.6
"""How long peers have to confirm that they hold a result."""

JOIN_TIMEOUT_S = 0.3
"""How long a key's home node has to answer before the request runs without it."""

CANCEL_REPLY_S = 3.0
"""A cancel that is not complete by then is answered as under way."""

RETRY_AFTER_S = 1
"""Least Retry-After of a refusal."""

CHARS_PER_TOKEN = 6.0
"""A rough length of a token, where only the size of a prefill is guessed."""
