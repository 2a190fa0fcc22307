"""The controller: a replicated log of the configuration, placement of models, and the feed to proxies."""
