"""Logs and metrics of a serving node, and reports that are computed from its logs."""
