"""Simulates a whole system in memory, on virtual time."""
