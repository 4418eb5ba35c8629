# Three governors that can't reach each other share the relays; one is killed half-way through a flush, another
# while the first is away, and both come back.
day(seconds = 45, halls = ["north", "south", "east"], workers = 24, relays = 60, flows_per_s = 100, governors = 3)
trouble("silent", at = 4, lasts = 10, count = 1)
trouble("deploy", at = 8, lasts = 24, hall = "south", step = 3)
trouble("kill_governor", at = 10, lasts = 12, governor = 0, after_orders = 3)
trouble("broken_streams", at = 20, share = 0.3)
trouble("kill_governor", at = 19, lasts = 5, governor = 1, after_orders = 2)
