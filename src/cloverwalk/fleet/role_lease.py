"""The time-limited lease of the coordinator's role, derived from reads of the role row."""
