"""Helpers shared by every layer."""
