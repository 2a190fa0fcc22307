"""Requests to models that may not be loaded: the rules of ADR 0041, as pure functions for both request paths.

`limits` contains the computations and their constants, `decision` the resulting decisions for one request.
Section numbers in comments refer to the paper "ADR 0041: Cold-start-aware calls between releases";
docs/design/adr-0041.md lists which rules were adopted and which were changed. This package has no state,
clock or I/O.
"""
