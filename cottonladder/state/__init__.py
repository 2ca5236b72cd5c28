"""What is kept: ids, who is joined, and what the proxies were told."""
