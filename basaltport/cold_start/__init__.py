"""Calls to models that may be cold: the rules of ADR 0041, as pure functions that both request paths use.

`limits` has the arithmetic and its constants, `decision` what follows from it for one request. Sections are
those of the paper "ADR 0041: Cold-start-aware calls between releases"; docs/design/adr-0041.md tells what
was kept and what was changed. Nothing here keeps state, reads a clock or sends anything.
"""
