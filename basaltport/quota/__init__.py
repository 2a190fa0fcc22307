"""The limits of tenants, counted over all proxies: shares of each limit that proxies hold for a time, and the
bucket of the one controller that owns a tenant. Pure: times are given, messages are data."""
