"""Stand-ins round controllers, shared with the model."""

import basaltport.model.standins as standins

Placement = standins.Placement
Proxy = standins.Proxy
