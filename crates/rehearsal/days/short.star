# The bad day's troubles on a smaller fleet, for CI.
day(seconds = 24, halls = ["north", "south"], workers = 10, relays = 8, flows_per_s = 40, warm_after = 6, state = True)
trouble("silent", at = 2, lasts = 8, count = 1)
trouble("deploy", at = 5, lasts = 12, hall = "south", step = 2)
trouble("late_reports", at = 6, lasts = 6, share = 0.5, late = 1)
trouble("broken_streams", at = 9, share = 0.5)
trouble("kill_governor", at = 11, lasts = 3, after_orders = 3)
