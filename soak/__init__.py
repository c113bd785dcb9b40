"""Randomized soak test of real daemons with injected faults."""
