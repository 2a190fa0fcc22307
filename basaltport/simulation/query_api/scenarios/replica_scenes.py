"""Named scenarios of the replicas and zones: crashes, darkness, notice, crowds of cold models."""

import basaltport.simulation.query_api.plays as plays
import basaltport.simulation.query_api.world.stage as stage

scenario = plays.scenario


@scenario()
def replicas_crash(play: plays.Play) -> None:
    """Replicas end without a word, one after another."""
    play.crowd.factor = {play.once: 8}
    for _ in range(3):
        replica = play.rng.choice(sorted(play.world.replicas))
        play.world.crash_replica(replica)
        play.world.run(1500)
        play.world.start_replica(replica)
        play.world.run(2500)
    play.back_after(8000)


@scenario()
def replicas_sick(play: plays.Play) -> None:
    """Every replica takes queries and breaks its wires; repeatable ones must not be resent without bound."""
    play.crowd.factor = {play.chief: 3}
    play.all_replicas("sick")
    play.world.run(6000)
    play.all_replicas("up")
    play.crowd.factor = {}
    play.back_after(4000)


@scenario()
def replicas_torn(play: plays.Play) -> None:
    """Every replica breaks whole replies off and tears streams: lines lost, doubled, of other runs."""
    for line in play.crowd.demand["lines"].values():
        line["stream"] = True
    play.all_replicas("torn")
    play.world.run(6000)
    play.all_replicas("up")
    play.back_after(4000)


@scenario()
def streams_cut(play: plays.Play) -> None:
    """Streams meet the end of their replica, of their rostrum, and of their sender."""
    for line in play.crowd.demand["lines"].values():
        line["stream"] = True
    play.crowd.leave = 0.2
    play.crowd.factor = {play.chief: 3}
    play.world.run(1000)
    for _ in range(3):
        replicas = play.rng.sample(sorted(play.world.replicas), 3)
        for replica in replicas:
            play.world.crash_replica(replica)
        play.world.run(500)
        for replica in replicas:
            play.world.start_replica(replica)
        name = play.query_node()
        play.world.kill(name)
        play.world.run(1000)
        play.world.boot(name)
        play.world.run(1500)
    play.back_after(8000)


@scenario()
def replicas_dark(play: plays.Play) -> None:
    """A replica can't be reached for some seconds."""
    play.crowd.factor = {play.once: 8}
    play.world.run(2000)
    replica = play.rng.choice(sorted(play.world.replicas))
    play.world.dark_replica(replica)
    play.world.run(6000)
    play.world.dark_replica(replica, False)
    play.back_after(6000)


@scenario()
def replica_leaves(play: plays.Play) -> None:
    """Short notice: told at one node, gone a second later."""
    item = play.crowd.demand["lines"][play.chief]["items"][0]
    replica = play.world.live()[0].member.usable(item)[0]
    play.world.ask(play.query_node(), "leaving", {"replica": replica, "change": f"leave-{replica}"})
    play.world.run(4000)
    play.world.crash_replica(replica)
    play.back_after(8000)


@scenario()
def zone_emptied(play: plays.Play) -> None:
    """A zone is drained and taken back."""
    play.world.must("drain", {"zone": "z1"})
    play.world.run(8000)
    play.world.must("undrain", {"zone": "z1"})
    play.back_after(8000)


@scenario()
def replicas_restart(play: plays.Play) -> None:
    """Every replica is replaced by a fresh start, one after another, under a crowd."""
    play.crowd.factor = {play.chief: 4}
    for replica in sorted(play.world.replicas):
        play.world.crash_replica(replica)
        play.world.run(200)
        play.world.start_replica(replica)
        play.world.run(1500)
    play.crowd.factor = {}
    play.back_after(8000)


@scenario("furrow", opens=0)
def cold_storm(play: plays.Play) -> None:
    """Every model and adapter of the house is asked for in one breath, at every rostrum."""
    breath(play)
    play.back_after(6000, share=0.9)


@scenario("furrow", opens=0)
def power_cut_loading(play: plays.Play) -> None:
    """The same, and all members lose power while the replicas load on."""
    world = play.world
    play.blank = True
    for _ in range(2):
        breath(play)
        world.run(play.rng.randrange(200, 1500))
        for node in list(world.nodes):
            world.kill(node, power=True)
        world.run(500)
        for node in list(world.nodes):
            world.later(play.rng.randrange(0, 1500), world.boot, node)
        world.run(3000)
    play.back_after(share=0.9)


def crowd(factor: int) -> plays.Act:
    """A scenario of so many times the usual traffic."""

    def act(play: plays.Play) -> None:
        """Every line at so many times its peak for six seconds, then its peak again."""
        play.crowd.factor = dict.fromkeys(play.crowd.demand["lines"], factor)
        play.world.run(6000)
        play.crowd.factor = {}
        play.back_after(3000)

    return act


for times in (1, 2, 4):
    plays.SCENARIOS[f"crowd-{times}"] = plays.Scenario("furrow", crowd(times), plays.OPENS_MS)


def breath(play: plays.Play) -> None:
    """Every model and adapter is requested at every query node."""
    world = play.world
    for line, demand in sorted(play.crowd.demand["lines"].items()):
        once = world.configuration["lines"][line]["once_only"]
        for item in demand["items"]:
            model, _, adapter = item.partition("/")
            for node in world.live():
                client = sorted(demand["senders"])[0]
                world.send_request(
                    line, model, adapter, stage.hashed(demand["senders"][client]), once, node=node.name
                )
