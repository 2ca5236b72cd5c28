"""Weight advice over SASP and DFP, as server and as client; imported only if configured."""
