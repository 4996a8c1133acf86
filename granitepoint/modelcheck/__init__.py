"""Model checking: state machines that look for a breach of the rules. The proxy imports none of it."""
