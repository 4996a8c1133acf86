"""Fault injection for real proxies on loopback.

Servers and a discovery service fail on command, a preloaded library makes system calls fail, and a checker
verifies the rules using only the records of clients, servers and discovery.
"""
