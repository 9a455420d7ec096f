"""Soak test: runs serving nodes as processes under seeded faults and checks their promises."""
