"""Routes language-model traffic with service levels and priorities."""
