# Three governors without gossip are all down at the same time; one is started again, then the others.
day(
    seconds = 45, halls = ["north", "south", "east"], workers = 24, relays = 60, flows_per_s = 100, governors = 3,
    care_for = 6,
)
trouble("silent", at = 4, lasts = 6, count = 1)
trouble("kill_governor", at = 12, lasts = 6, governor = 0, after_orders = 0)
trouble("kill_governor", at = 12, lasts = 12, governor = 1, after_orders = 0)
trouble("kill_governor", at = 12, lasts = 14, governor = 2, after_orders = 0)
trouble("deploy", at = 22, lasts = 16, hall = "south", step = 4)
