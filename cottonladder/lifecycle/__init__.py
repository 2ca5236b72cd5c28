"""Start, the owner of the decisions, stop, and the command line."""
