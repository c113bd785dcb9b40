"""Coordination layer: decisions taken by many hosts together."""
