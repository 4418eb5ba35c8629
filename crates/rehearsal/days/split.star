# Three governors with gossip share 60 proxies. A partition separates one and its zone from the others and from the
# roster; later the messages of another to the others are lost; and one has a stale roster during a deploy.
day(
    seconds = 56, halls = ["north", "south", "east"], workers = 24, relays = 60, flows_per_s = 100, governors = 3,
    talk = True,
)
trouble("silent", at = 4, lasts = 8, count = 1)
trouble("cut_governor", at = 8, lasts = 12, governor = 0)
trouble("deploy", at = 10, lasts = 36, hall = "south", step = 4)
trouble("one_way", at = 26, lasts = 10, governor = 1)
trouble("stale_roster", at = 38, lasts = 8, governor = 2)
