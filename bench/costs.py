"""Placeholder replaced by the bench."""
