"""Stand-ins for replicas, the weight store and the platform."""
