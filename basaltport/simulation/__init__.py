"""Simulations of whole fleets on virtual time: one seed is one run, and checks read its trace."""
