"""Callers: which tenant a key belongs to, and what each tenant may send."""
