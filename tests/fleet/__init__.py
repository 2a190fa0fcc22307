"""The feed from controllers to proxies, and operators' pages and verbs."""
