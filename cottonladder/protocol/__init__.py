"""The protocols that a manager speaks: RESP2 streams, discovery, health checks and gossip datagrams."""
