"""Test fleet: simulated backends, discovery and callers around real or hollow proxies.

A real proxy is the program in a process of its own. A hollow proxy runs the same code, but shares one worker
process with many others.

The fleet measures how the costs of a proxy grow with the size of the fleet. The proxy itself imports nothing
of this package. The package needs the libraries of the extra `fleet` in pyproject.toml.
"""
