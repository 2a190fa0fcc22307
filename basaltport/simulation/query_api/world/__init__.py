"""The JSON API's nodes, replicas, clients and operators on virtual time."""
