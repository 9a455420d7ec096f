"""Tenants: identification of callers by key, and quotas."""
