"""Utilities shared by all layers."""
