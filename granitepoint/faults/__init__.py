"""Fault injection for real proxies on loopback: servers and a discovery service that fail on command, failing
system calls, and a checker that verifies the rules from the records of clients, servers and discovery alone."""
