# The bad day of a fleet whose settings and first roster are imported from an nginx's configuration, zones by network.
day(
    seconds = 70, halls = ["127.0.1", "127.0.2", "127.0.3"], workers = 24, relays = 16, flows_per_s = 100,
    nginx = True,
)
trouble("silent", at = 6, lasts = 20, count = 1)
trouble("deploy", at = 18, lasts = 30, hall = "127.0.2", step = 3)
trouble("late_reports", at = 28, lasts = 12, share = 0.5, late = 2)
trouble("broken_streams", at = 34, share = 0.5)
trouble("kill_governor", at = 40, lasts = 4, after_orders = 5)
