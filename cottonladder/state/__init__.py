"""State that a manager keeps between inputs: known workers, proxy sessions, lines sent to each proxy."""
