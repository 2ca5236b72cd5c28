"""The protocols that a manager speaks: RESP2, discovery, health checks and gossip datagrams."""
