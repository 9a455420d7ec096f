"""Cloverwalk: online and batch inference on one shared fleet.

The parts in :mod:`cloverwalk.core` are usable alone; each has a runnable example.
"""

__version__ = "0.1.0"
