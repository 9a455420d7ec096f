"""Batch jobs: taken, owned under a lease, run beside online work, listed once and read anywhere."""
