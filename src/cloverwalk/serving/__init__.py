"""The serving node: its wiring, its life as a process, and how a request finds its handler."""
