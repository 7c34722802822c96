"""Seeded simulations of the decision logic with a virtual clock."""
