"""The controller of a zone: polls its replicas, orders loads, grants slots and publishes what they hold."""
