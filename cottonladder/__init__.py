"""cottonladder: a control plane for a service's proxies."""
