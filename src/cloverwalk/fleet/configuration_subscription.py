"""Polls configuration sources, and decides when this node reads the store itself."""
