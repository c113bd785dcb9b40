"""Simulates hosts and model engines to evaluate prompt scheduling."""
