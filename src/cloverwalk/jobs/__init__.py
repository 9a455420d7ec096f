"""Batch jobs: accepted, owned by one node at a time, run beside online work, and listed once."""
