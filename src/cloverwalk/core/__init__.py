"""Pure, deterministic decisions: no I/O, no clock and no randomness of their own."""
