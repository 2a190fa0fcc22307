"""The routine of ADR 0041 on both paths."""
