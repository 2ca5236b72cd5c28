"""Model checker of the leases and the fencing of several managers."""
