# The faults of storms.star, for a governor without a durable store.
day(
    seconds = 70, halls = ["north", "south", "east"], workers = 24, relays = 24, flows_per_s = 100, care_for = 6,
)
trouble("silent", at = 6, lasts = 40, count = 1)
trouble("deploy", at = 10, lasts = 50, hall = "south", step = 4)
trouble("storm", at = 8, lasts = 58, count = 10)
