"""The emulator: plays a day (one scenario) with the real decision module in simulated time.

It models clients, tiers of servers, service discovery and faults. The proxy and the adapter for the simulator
don't import this package.
"""
