# A mistaken rollback: during a deploy an operator rolls back to tables with replicas that are draining by now, or have
# restarted cold since.
day(seconds = 45, halls = ["north", "south", "east"], workers = 24, relays = 24, flows_per_s = 100)
trouble("deploy", at = 6, lasts = 30, hall = "south", step = 3)
trouble("step_back", at = 7, lasts = 10)
trouble("silent", at = 12, lasts = 8, count = 1)
trouble("broken_streams", at = 20, share = 0.5)
