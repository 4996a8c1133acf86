"""How long a proxy may rely on its list of servers, and when it requests the list again. No I/O, no clock.

`list_lease` limits how long a list may be used to send requests, `backoff` decides when the next call for it
is made, and `health_checks` which of the listed servers are used while no watch confirms the list.
"""
