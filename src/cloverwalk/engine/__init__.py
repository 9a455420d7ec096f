"""The adapter to model engines: HTTP with server-sent events."""
