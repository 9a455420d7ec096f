"""Batch jobs: taken, owned by one node at a time, run beside online work, listed once and read anywhere."""
