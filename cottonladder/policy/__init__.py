"""The routing policy: every decision and every tuned value."""
