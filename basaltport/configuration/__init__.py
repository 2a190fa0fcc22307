"""The configuration that operators provide: its schema, validation, patches, and compiled rules."""
