"""A host of a fleet whose targets register themselves.

Callers reach the host directly, targets appear in a registry that can only be
read, and hosts tell each other about load, outcomes and use by datagrams.
"""
