"""The repository itself: style, pages, deploy file, command line, local fleet."""
