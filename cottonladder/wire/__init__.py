"""What is spoken: messages, discovery, probes and datagrams; knows no decision."""
