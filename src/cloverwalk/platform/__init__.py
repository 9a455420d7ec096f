"""The adapter to the users' platform, the only package with names of the platform."""
