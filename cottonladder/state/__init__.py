"""State that a manager keeps between inputs: known workers, proxy sessions, what each proxy was sent."""
