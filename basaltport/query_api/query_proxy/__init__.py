"""The query node: takes requests of the JSON API and sends them to replicas, within queues and slots."""
