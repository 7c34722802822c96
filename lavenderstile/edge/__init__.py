"""A host of a fleet whose targets register themselves.

Callers connect to the host directly. Hosts read the targets from a registry,
to which they cannot write, and exchange load, outcomes and use by datagrams.
"""
