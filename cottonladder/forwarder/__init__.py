"""A reference forwarder: sends requests and upgraded connections to workers as its managers order."""
