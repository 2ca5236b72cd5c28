"""Weight advice: SASP and DFP, as server and as client; imported only where the operators' file asks for
it."""
