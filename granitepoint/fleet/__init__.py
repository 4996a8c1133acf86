"""Stand-ins for all that surrounds a proxy, and a fleet of proxies among them, to measure what grows.

Nothing here is imported by the proxy itself. The libraries are those of the extra `fleet`.
"""
