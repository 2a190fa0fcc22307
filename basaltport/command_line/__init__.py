"""What all commands share: flags, files, tables, exit codes; and the commands for fleets behind routes."""
