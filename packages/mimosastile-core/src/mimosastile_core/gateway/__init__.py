"""Decisions of the gateway: routes, key ranges, room at targets, retries.

The gateway serves targets that take orders over HTTP and own ranges of numeric
keys. As everywhere in this package a state, an event and the time go in and a
state or an action comes out.
"""
