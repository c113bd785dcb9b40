"""Protocol layer: formats of messages and headers."""
