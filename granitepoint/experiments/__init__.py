"""Experiments: run variants of the decision module and its settings on days and seeds, and compare them.

The proxy imports nothing from this package.
"""
