"""Stand-ins for everything outside mimosastile, and tools built on them.

They are small on purpose: each does what the platform or a back end promises,
and can be told to misbehave. None of them models a cluster.
"""
