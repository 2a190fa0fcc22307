"""The routed path: controllers, proxies and replicas under clients, operators and faults."""
