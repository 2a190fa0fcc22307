"""The proxy: takes clients' requests, sends each to a replica and passes its answer on."""
