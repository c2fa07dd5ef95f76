"""Decisions of the mimosastile router, free of sockets, clocks and randomness.

Every decision takes a state, an event and the present time in seconds and
returns a new state or the actions to carry out. The daemon, the tests and the
fuzzers drive the same code.
"""
