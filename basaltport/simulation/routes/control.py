"""All scenarios of the controllers, and the play that knows them."""

import basaltport.simulation.routes.control_losses as control_losses
import basaltport.simulation.routes.control_play as control_play
import basaltport.simulation.routes.control_scenes as control_scenes

SCENARIOS = {**control_scenes.SCENARIOS, **control_losses.SCENARIOS}


class Play(control_play.ControlPlay):
    """A run of one of the scenarios of the controllers."""

    SCENARIOS = SCENARIOS
