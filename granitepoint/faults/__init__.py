"""Fault injection for real proxies on loopback: stand-ins that misbehave on command, failing system calls,
and a checker that holds the rules against the records of clients, servers and discovery alone."""
