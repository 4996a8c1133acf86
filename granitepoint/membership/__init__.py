"""What a proxy may believe of the list of servers, and when it asks for it again. No I/O, no clock.

`list_lease` bounds for how long a list may be sent by, `backoff` when the next call for it is made, and
`health_checks` which of the listed servers are used while no watch confirms the list.
"""
