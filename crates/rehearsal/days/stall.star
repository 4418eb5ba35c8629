# Three governors with gossip. The process of one is paused for longer than the others and its proxies wait, and
# resumes with the messages in its queue; another is killed half-way through a flush during the pause.
day(
    seconds = 50, halls = ["north", "south", "east"], workers = 24, relays = 60, flows_per_s = 100, governors = 3,
    talk = True, care_for = 10,
)
trouble("silent", at = 4, lasts = 10, count = 1)
trouble("deploy", at = 6, lasts = 30, hall = "south", step = 3)
trouble("stall_governor", at = 8, lasts = 14, governor = 1)
trouble("kill_governor", at = 16, lasts = 6, governor = 2, after_orders = 3)
trouble("broken_streams", at = 30, share = 0.3)
