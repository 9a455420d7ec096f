"""The adapter to the users' platform: the only place that knows its names. It decides nothing."""
