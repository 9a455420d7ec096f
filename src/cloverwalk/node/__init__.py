"""Wiring of a node: its roles as one state machine, and the daemon around it."""
