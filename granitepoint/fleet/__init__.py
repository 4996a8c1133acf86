"""Test fleet: simulated backends, discovery and callers around real or hollow proxies.

It measures how the costs of a proxy grow with the size of the fleet. The proxy itself imports nothing of this
package. The libraries needed are those of the extra `fleet`.
"""
