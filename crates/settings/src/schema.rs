//! What the script may say: sections, their fields, what each takes and what stands where nothing is said.

/// What a field takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Takes {
    /// A number within bounds, both included.
    Number(f64, f64),
    /// A whole number within bounds, both included.
    Whole(u64, u64),
    /// Seconds within bounds, both included.
    Seconds(f64, f64),
    Truth,
    Text,
    Texts,
    OneOf(&'static [&'static str]),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Otherwise {
    /// It must be said.
    Needed,
    /// Left open; the checks know what that means.
    Open,
    Number(f64),
    Truth(bool),
    Text(&'static str),
}

#[derive(Debug, Clone, Copy)]
pub struct Field {
    pub name: &'static str,
    pub takes: Takes,
    pub otherwise: Otherwise,
    pub says: &'static str,
}

#[derive(Debug, Clone, Copy)]
pub struct Section {
    pub name: &'static str,
    /// Said once for each of its kind, by name, instead of once at most.
    pub many: bool,
    pub says: &'static str,
    pub fields: &'static [Field],
}

const fn field(name: &'static str, takes: Takes, otherwise: Otherwise, says: &'static str) -> Field {
    Field { name, takes, otherwise, says }
}

use Otherwise::{Needed, Number, Open, Text, Truth};

pub const SECTIONS: &[Section] = &[
    Section {
        name: "group",
        many: true,
        says: "a traffic group: a cluster of its own, and the route to it",
        fields: &[
            field(
                "effect",
                Takes::OneOf(&["retriable", "deduped", "non-retriable"]),
                Text("non-retriable"),
                "what a second run of a flow would do",
            ),
            field("deduped_by", Takes::OneOf(&["all", "zone", "pack"]), Open, "which replicas drop a repeat"),
            field(
                "deduped_for",
                Takes::Seconds(0.001, 86_400.0),
                Open,
                "how long after the first try they do",
            ),
            field(
                "latency_budget",
                Takes::Seconds(0.001, 3600.0),
                Needed,
                "an answer within it is worth all",
            ),
            field("expiry", Takes::Seconds(0.001, 3600.0), Needed, "the client has given up after it"),
            field("utility", Takes::Number(0.0, 1e6), Number(1.0), "what a delivered flow is worth"),
            field(
                "own_zone",
                Takes::Truth,
                Truth(false),
                "flows may only go to replicas in the proxy's zone",
            ),
            field("prefix", Takes::Text, Open, "path prefix of its flows"),
            field("header", Takes::Text, Open, "`name: value` that its flows carry, instead of a prefix"),
            field(
                "paths",
                Takes::Texts,
                Open,
                "or several paths: \"/prefix\", \"= /exact\", \"^~ /prefix before patterns\", \"~ pattern\", \
                 \"~* pattern of any case\"",
            ),
        ],
    },
    Section {
        name: "fleet",
        many: false,
        says: "proxies and governors",
        fields: &[
            field("zones", Takes::Texts, Needed, "the zones, by the names that nodes and roster use"),
            field("governors", Takes::Whole(1, 1000), Number(1.0), "how many governors share the proxies"),
            field("proxies", Takes::Whole(1, 1_000_000), Needed, "proxies of all governors together"),
            field("standing_lines", Takes::Whole(1, 1000), Number(12.0), "replicas in a standing table"),
            field("usual", Takes::Number(0.0, 1e9), Number(1.0), "flows a second of a proxy that says none"),
            field(
                "proxies_avoid",
                Takes::Truth,
                Truth(false),
                "proxies keep away from what dropped their tries",
            ),
            field(
                "tries",
                Takes::OneOf(&["never", "if-never-ran", "once"]),
                Text("never"),
                "what proxies do about further tries until told otherwise",
            ),
            field("levels", Takes::Truth, Truth(true), "proxies heed levels (drop_overloads)"),
            field("joined_most", Takes::Whole(1, 32_766), Number(32_766.0), "proxies joined here at once"),
        ],
    },
    Section {
        name: "governor",
        many: false,
        says: "this governor, among those that share the fleet",
        fields: &[
            field("name", Takes::Text, Open, "letters, digits, `-` and `_`; each governor has its own"),
            field(
                "keys",
                Takes::Texts,
                Open,
                "files with secrets that all share; the first signs, all count",
            ),
            field("talk", Takes::Text, Open, "where other governors reach this one, by UDP; none without it"),
            field("peers", Takes::Texts, Open, "other governors as \"name=address:port\""),
            field(
                "moves_per_s",
                Takes::Number(0.1, 10_000.0),
                Number(20.0),
                "proxies that are handed over a second, at most",
            ),
        ],
    },
    Section {
        name: "replicas",
        many: false,
        says: "how replicas start",
        fields: &[
            field(
                "cold_share",
                Takes::Number(0.01, 1.0),
                Number(0.25),
                "share of its capacity at its start, at the worst",
            ),
            field("warm_after", Takes::Seconds(0.0, 3600.0), Number(30.0), "and how long until it has all"),
        ],
    },
    Section {
        name: "channel",
        many: false,
        says: "what the governor may send",
        fields: &[
            field("lines_per_s", Takes::Number(1.0, 1e9), Number(20_000.0), "lines a second, to all proxies"),
            field(
                "head_lines",
                Takes::Number(0.0, 1000.0),
                Number(10.0),
                "what a message costs on top of its lines",
            ),
            field("waiting_most", Takes::Number(1.0, 1e9), Number(40_000.0), "lines that may wait"),
            field("transit_most", Takes::Seconds(0.0, 60.0), Number(0.5), "the longest way of a message"),
            field(
                "messages_most",
                Takes::Whole(8, 100_000),
                Open,
                "messages to one proxy within `messages_over`",
            ),
            field("messages_over", Takes::Seconds(0.1, 3600.0), Number(10.0), "the span for that"),
            field(
                "history_versions",
                Takes::Whole(1, 1000),
                Number(16.0),
                "versions of a proxy's tables that are kept",
            ),
            field(
                "history_lines",
                Takes::Whole(1000, 1_000_000_000),
                Number(1_000_000.0),
                "lines in all of them, about 150 bytes each",
            ),
            field(
                "crossing_cost",
                Takes::Number(0.0, 1.0),
                Number(0.05),
                "what a flow into another zone costs",
            ),
        ],
    },
    Section {
        name: "reports",
        many: false,
        says: "load reports",
        fields: &[
            field("every", Takes::Seconds(0.05, 60.0), Number(1.0), "how often proxies report"),
            field(
                "lines_per_s",
                Takes::Number(1.0, 1e9),
                Number(10_000.0),
                "lines the module is given a second",
            ),
            field("metrics", Takes::Texts, Open, "load metrics, from `waiting`, `in_hand`, `service_ms`"),
            field("answer", Takes::Text, Text("answer_ms"), "the metric that holds an answer's time"),
        ],
    },
    Section {
        name: "roster",
        many: false,
        says: "where the list of replicas comes from",
        fields: &[
            field("file", Takes::Text, Open, "a JSON file, replaced whole"),
            field("upstream", Takes::Text, Open, "or the URI of an xDS server"),
            field("clusters", Takes::Texts, Open, "and the clusters whose endpoints are the replicas"),
            field("look_every", Takes::Seconds(0.02, 60.0), Number(0.2), "how often the file is looked at"),
            field(
                "empty_after",
                Takes::Seconds(0.0, 86_400.0),
                Number(30.0),
                "how long an empty list must stand",
            ),
        ],
    },
    Section {
        name: "state",
        many: false,
        says: "what is known beyond a restart",
        fields: &[
            field("folder", Takes::Text, Open, "where it lasts; nothing does without it"),
            field("every", Takes::Seconds(0.05, 60.0), Number(0.5), "how often changes are written"),
        ],
    },
    Section {
        name: "nginx",
        many: false,
        says: "an nginx that follows this governor by files (`wrenthread export nginx`)",
        fields: &[
            field(
                "include",
                Takes::Text,
                Text("wrenthread.conf"),
                "the file that it includes, replaced whole",
            ),
            field(
                "reload",
                Takes::Texts,
                Open,
                "the command that has it read the file; none is run without it",
            ),
            field(
                "every",
                Takes::Seconds(0.05, 3600.0),
                Number(5.0),
                "from one file to the next, at the least",
            ),
            field(
                "drains_every",
                Takes::Seconds(0.05, 3600.0),
                Number(1.0),
                "the same, for one that shuts something",
            ),
            field(
                "reload_within",
                Takes::Seconds(0.05, 600.0),
                Number(10.0),
                "the command has failed after it",
            ),
            field("access_log", Takes::Text, Open, "its log in our format, read as load reports"),
        ],
    },
    Section {
        name: "listen",
        many: false,
        says: "the sockets",
        fields: &[
            field("grpc", Takes::Text, Text("127.0.0.1:15010"), "proxies (ADS, LRS, CSDS)"),
            field("http", Takes::Text, Text("127.0.0.1:15011"), "health, metrics, status"),
            field("poll", Takes::Text, Open, "proxies (long-poll); none without it"),
            field(
                "keepalive",
                Takes::Seconds(0.1, 3600.0),
                Number(10.0),
                "a stream is asked for life so often",
            ),
            field(
                "keepalive_timeout",
                Takes::Seconds(0.1, 3600.0),
                Number(5.0),
                "and over without an answer",
            ),
        ],
    },
];

/// What the script of a rehearsed day may say.
pub const DAY: &[Section] = &[
    Section {
        name: "day",
        many: false,
        says: "the fleet and its flows",
        fields: &[
            field("seconds", Takes::Seconds(1.0, 3600.0), Needed, "how long flows come"),
            field("halls", Takes::Texts, Needed, "zones"),
            field("workers", Takes::Whole(1, 1000), Number(24.0), "workers, dealt to the halls"),
            field("relays", Takes::Whole(1, 1000), Number(16.0), "relays, dealt to the halls"),
            field("flows_per_s", Takes::Number(0.1, 10_000.0), Number(100.0), "over all relays"),
            field(
                "worker_flows_per_s",
                Takes::Number(0.1, 10_000.0),
                Number(10.0),
                "what a warm worker can do",
            ),
            field("roster_late", Takes::Seconds(0.0, 60.0), Number(1.0), "how late the roster is"),
            field("cold_share", Takes::Number(0.05, 1.0), Number(0.25), "what a cold worker can do"),
            field("warm_after", Takes::Seconds(0.1, 600.0), Number(12.0), "and for how long"),
            field(
                "drain_grace",
                Takes::Seconds(0.1, 60.0),
                Number(3.0),
                "no try so long after a drain was listed",
            ),
            field("governors", Takes::Whole(1, 8), Number(1.0), "governors that share the relays"),
            field("talk", Takes::Truth, Truth(false), "they may talk to each other"),
            field("state", Takes::Truth, Truth(false), "governors know what they knew before a restart"),
            field(
                "nginx",
                Takes::Truth,
                Truth(false),
                "settings and roster are imported from nginx's; halls are networks as `127.0.1`",
            ),
            field(
                "care_for",
                Takes::Seconds(0.1, 60.0),
                Number(5.0),
                "no relay without a governor for so long",
            ),
            field("bare_for", Takes::Seconds(0.1, 60.0), Number(2.0), "no relay without a line for so long"),
            field(
                "fall_multiple",
                Takes::Number(1.0, 100.0),
                Number(2.5),
                "a cold worker falls at so many times its part",
            ),
            field("overload_for", Takes::Seconds(0.1, 60.0), Number(1.5), "brought for so long"),
        ],
    },
    Section {
        name: "trouble",
        many: true,
        says: "what goes wrong, by kind",
        fields: &[
            field("at", Takes::Seconds(0.0, 3600.0), Needed, "when it begins"),
            field("lasts", Takes::Seconds(0.0, 3600.0), Number(0.0), "how long"),
            field("hall", Takes::Text, Open, "where"),
            field("share", Takes::Number(0.0, 1.0), Number(0.5), "how many of those concerned"),
            field("count", Takes::Whole(1, 1000), Number(1.0), "how many workers"),
            field("late", Takes::Seconds(0.0, 60.0), Number(2.0), "how late reports come"),
            field("step", Takes::Seconds(0.1, 600.0), Number(2.0), "from one worker of a deploy to the next"),
            field("governor", Takes::Whole(0, 7), Number(0.0), "which governor"),
            field(
                "after_orders",
                Takes::Whole(0, 1000),
                Number(4.0),
                "orders of a flush that still go out; 0: at once",
            ),
        ],
    },
];

pub fn section(name: &str) -> Option<&'static Section> {
    SECTIONS.iter().chain(DAY).find(|section| section.name == name)
}

/// The known name nearest to one that is not known, if any is near.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let rated = known.map(|one| (strsim::jaro_winkler(name, one), one));
    rated.filter(|(near, _)| *near > 0.7).max_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, one)| one)
}

impl Takes {
    /// What would be right, in words.
    pub fn says(&self) -> String {
        match self {
            Takes::Number(least, most) => format!("a number from {least} to {most}"),
            Takes::Whole(least, most) => format!("a whole number from {least} to {most}"),
            Takes::Seconds(least, most) => format!("seconds, from {least} to {most}"),
            Takes::Truth => "True or False".to_string(),
            Takes::Text => "a text".to_string(),
            Takes::Texts => "a list of texts, none twice".to_string(),
            Takes::OneOf(names) => {
                names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(" or ")
            }
        }
    }
}
