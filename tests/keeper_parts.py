"""Stand-ins round keepers, shared with the model."""

import basaltport.model.standins as standins

Placement = standins.Placement
Proxy = standins.Proxy
