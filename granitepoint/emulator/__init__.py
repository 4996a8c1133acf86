"""A world in simulated time round the real decision module: clients, servers in tiers, lists and troubles.

Neither the proxy nor the simulator's adapter imports it.
"""
