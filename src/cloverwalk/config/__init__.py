"""Typed settings, one object per concern, checked whole at the start."""
