"""Shared types and deterministic decision code; callers pass in the time and randomness."""
