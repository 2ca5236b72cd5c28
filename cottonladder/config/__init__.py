"""The files that a process is started with: read, checked and typed."""
