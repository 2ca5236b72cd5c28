"""The decisions, and the types that fronts use to reach them."""
