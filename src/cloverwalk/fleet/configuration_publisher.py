"""Answers polls for the configuration and sends its parts at a limited rate."""
