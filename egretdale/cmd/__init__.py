"""Programs of the package."""
