"""cottonladder: a control plane for a service's proxies."""

__version__ = "0.1.0"
