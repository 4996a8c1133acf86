"""Model checking: state machines that search for violations of the rules. The proxy does not import it."""
