"""Stand-ins round keepers, shared with the model: a placement that orders all the time, a proxy that follows."""

import basaltport.model.standins as standins

Placement = standins.Placement
Proxy = standins.Proxy
