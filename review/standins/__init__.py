"""Stand-ins for the cases of the review."""
