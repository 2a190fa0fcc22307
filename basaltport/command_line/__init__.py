"""Shared code of all commands (files, tables, exit codes) and the commands for fleets behind routes."""
