"""Scheduling of requests and items onto replica slots, decided at the coordinator."""
