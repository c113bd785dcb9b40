"""Hosts and model engines on virtual time, for decisions on prompts."""
