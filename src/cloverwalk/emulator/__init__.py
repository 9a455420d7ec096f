"""Emulators of engines, replicas and the platform, and a discrete-event simulation of a fleet."""
