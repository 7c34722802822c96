"""Seeded measurement of the decision objects under a virtual clock."""
