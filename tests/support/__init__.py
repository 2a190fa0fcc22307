"""Stands, worlds and checks that several tests use."""
