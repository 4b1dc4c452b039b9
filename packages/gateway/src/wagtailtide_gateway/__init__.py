"""Request gateway for model engines and other backend servers.

The gateway runs as several instances. One of them holds the duty, which is a
lease in the store: the duty holder orders model loads, shares out the
organisations' rates, and tells the other instances what they need to know in
its answers to their reports. The protocols of callers, backend servers and
the store are supplied as ports.
"""
