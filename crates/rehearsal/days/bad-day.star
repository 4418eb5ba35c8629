# Three zones, 24 replicas, 16 proxies, and the common faults within a minute.
day(seconds = 70, halls = ["north", "south", "east"], workers = 24, relays = 16, flows_per_s = 100)

# A worker takes flows and answers none.
trouble("silent", at = 6, lasts = 20, count = 1)

# The workers of a hall are replaced, one after another, by cold ones.
trouble("deploy", at = 18, lasts = 30, hall = "south", step = 3)

# Reports come late, and twice, while half of the streams break at once.
trouble("late_reports", at = 28, lasts = 12, share = 0.5, late = 2)
trouble("broken_streams", at = 34, share = 0.5)

# The governor is killed half-way through sending orders, and is back some seconds later.
trouble("kill_governor", at = 40, lasts = 4, after_orders = 5)
