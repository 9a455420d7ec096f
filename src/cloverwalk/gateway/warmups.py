"""Tracks which replicas are warming up, and until when."""
