"""Chooses the nodes of each region that read the configuration for the others."""
