"""Logs and metrics of a serving node."""
