"""The simulator's wire: a codec and a host for the decisions."""
