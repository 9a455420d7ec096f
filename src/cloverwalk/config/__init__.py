"""Typed settings; a program checks its whole settings file when it starts."""
