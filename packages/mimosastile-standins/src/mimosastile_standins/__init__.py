"""Stand-ins for the systems around mimosastile, and tools built on them.

The stand-ins are deliberately small: each implements the contract of the
platform or of a target, and supports fault injection. None models a cluster.
"""
