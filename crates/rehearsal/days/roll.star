# All three governors are drained, stopped and started again, one after another, in the midst of a deploy of the
# workers.
day(
    seconds = 60, halls = ["north", "south", "east"], workers = 24, relays = 60, flows_per_s = 100, governors = 3,
    talk = True,
)
trouble("silent", at = 4, lasts = 8, count = 1)
trouble("deploy", at = 6, lasts = 30, hall = "south", step = 3)
trouble("roll_governors", at = 8)
trouble("broken_streams", at = 45, share = 0.3)
