"""Request gateway for model engines and other backend servers.

The gateway runs as several instances. One of them, the leader, holds a lease
in the store. The leader orders model loads, shares out the organisations'
rates, and replies to the reports of the other instances with updates. Logs,
metrics and the stored record call the leadership the duty.

The protocols of callers, backend servers and the store are supplied as ports.
"""
