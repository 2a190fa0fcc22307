"""Requests, polls and orders to replicas over HTTP, and what is proven of each."""
