"""Decision logic of the gateway: routes, key ranges, load balancing, retries.

The gateway serves targets that take orders over HTTP and own ranges of numeric
keys. As everywhere in this package, functions take a state, an event and the
time, and return a new state or an action.
"""
