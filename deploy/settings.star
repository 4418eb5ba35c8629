# A small installation: three halls, plain proxies, a roster file beside this script.
fleet(zones = ["north", "south", "east"], proxies = 16, standing_lines = 8, proxies_avoid = True)
replicas(cold_share = 0.25, warm_after = 20)
channel(lines_per_s = 5000, waiting_most = 10000)
reports(every = 0.5, metrics = ["waiting"])
roster(file = "roster.json")
listen(grpc = "127.0.0.1:15010", http = "127.0.0.1:15011", poll = "127.0.0.1:15012")

def flows(name, budget, expiry, utility, effect = "retriable"):
    group(name, latency_budget = budget, expiry = expiry, utility = utility, effect = effect, prefix = "/" + name)

flows("plate-match", 2, 5, 3)
flows("space-count", 1, 2.5, 1)
flows("exit-charge", 2, 5, 3, effect = "non-retriable")
