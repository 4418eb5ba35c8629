fleet(zones = ["north", "south"], governors = 3, proxies = 16, standing_lines = 9, usual = 2.5, proxies_avoid = True,
      tries = "if-never-ran", levels = False, joined_most = 40)
governor(name = "g0", keys = ["a.key", "b.key"], talk = "10.0.0.1:15012",
         peers = ["g1=10.0.0.2:15012", "g2=[::1]:15012"], moves_per_s = 7)
replicas(cold_share = 0.5, warm_after = 11)
channel(lines_per_s = 300, head_lines = 4, waiting_most = 5000, transit_most = 0.25, messages_most = 12,
        messages_over = 3, history_versions = 5, history_lines = 2000, crossing_cost = 0.125)
reports(every = 0.5, lines_per_s = 77, metrics = ["waiting", "service_ms"], answer = "took")
roster(upstream = "http://10.0.0.9:1", clusters = ["x", "y"], look_every = 0.75, empty_after = 12)
state(folder = "kept", every = 0.875)
nginx(include = "w.conf", reload = ["nginx", "-s"], every = 6, drains_every = 2, reload_within = 8, access_log = "l.log")
listen(grpc = "127.0.0.1:1", http = "127.0.0.1:2", poll = "127.0.0.1:3", keepalive = 9, keepalive_timeout = 4)
group("a", effect = "retriable", latency_budget = 1, expiry = 3, utility = 2.5, own_zone = True, prefix = "/a")
group("b", effect = "deduped", deduped_by = "pack", deduped_for = 60, latency_budget = 1, expiry = 3,
      header = "X-Group: b")
group("c", latency_budget = 1, expiry = 3,
      paths = ["/c", "= /d", "^~ /e", "~ ^/f[0-9]$", "~* \\.png$"])
