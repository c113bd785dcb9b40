"""In-memory surroundings on virtual time."""
