"""Loads, policies side by side, and reports. All figures come from callers' clocks."""
