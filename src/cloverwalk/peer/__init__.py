"""The protocol between nodes: netstrings of JSON over TCP."""
