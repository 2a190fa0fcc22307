"""Rate limits of tenants, enforced over all proxies: proxies hold leased shares of each limit and get the
remaining tokens from the controllers that own its slices.

The code has no side effects: times are passed in, and messages are returned as data."""
