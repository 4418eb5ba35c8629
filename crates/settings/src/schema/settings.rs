//! The sections of a settings script.

use super::DefaultValue::{Flag, Number, Required, Text, Unset};
use super::{FieldType, Section, field};

/// All sections; the first stands for an unknown one.
pub(crate) const SECTIONS: &[Section] = &[
    Section {
        name: "group",
        repeated: true,
        // A traffic group: a cluster of its own, and the route to it.
        fields: &[
            field(
                "effect",
                FieldType::OneOf(&["retriable", "deduped", "non-retriable"]),
                Text("non-retriable"),
                "what a second run of a flow would do",
            ),
            field(
                "deduped_by",
                FieldType::OneOf(&["all", "zone", "pack"]),
                Unset,
                "which replicas drop a repeat",
            ),
            field(
                "deduped_for",
                FieldType::Seconds { min: 0.001, max: 86_400.0 },
                Unset,
                "how long after the first try they do",
            ),
            field(
                "latency_budget",
                FieldType::Seconds { min: 0.001, max: 3600.0 },
                Required,
                "an answer within it is worth all",
            ),
            field(
                "expiry",
                FieldType::Seconds { min: 0.001, max: 3600.0 },
                Required,
                "the client has given up after it",
            ),
            field(
                "utility",
                FieldType::Number { min: 0.0, max: 1e6 },
                Number(1.0),
                "what a delivered flow is worth",
            ),
            field(
                "own_zone",
                FieldType::Flag,
                Flag(false),
                "flows may only go to replicas in the proxy's zone",
            ),
            field("prefix", FieldType::Text, Unset, "path prefix of its flows"),
            field(
                "header",
                FieldType::Text,
                Unset,
                "`name: value` that its flows carry, instead of a prefix",
            ),
            field(
                "paths",
                FieldType::Texts,
                Unset,
                "or several paths: \"/prefix\", \"= /exact\", \"^~ /prefix before patterns\", \"~ pattern\", \
                 \"~* pattern of any case\"",
            ),
        ],
    },
    Section {
        name: "fleet",
        repeated: false,
        // Proxies and governors.
        fields: &[
            field("zones", FieldType::Texts, Required, "the zones, by the names that nodes and roster use"),
            field(
                "governors",
                FieldType::Whole { min: 1, max: 1000 },
                Number(1.0),
                "how many governors share the proxies",
            ),
            field(
                "proxies",
                FieldType::Whole { min: 1, max: 1_000_000 },
                Required,
                "proxies of all governors together",
            ),
            field(
                "standing_lines",
                FieldType::Whole { min: 1, max: 1000 },
                Number(12.0),
                "replicas in a standing table",
            ),
            field(
                "usual",
                FieldType::Number { min: 0.0, max: 1e9 },
                Number(1.0),
                "flows a second of a proxy that says none",
            ),
            field(
                "proxies_avoid",
                FieldType::Flag,
                Flag(false),
                "proxies keep away from what dropped their tries",
            ),
            field(
                "tries",
                FieldType::OneOf(&["never", "if-never-ran", "once"]),
                Text("never"),
                "what proxies do about further tries until told default",
            ),
            field("levels", FieldType::Flag, Flag(true), "proxies heed levels (drop_overloads)"),
            field(
                "joined_most",
                FieldType::Whole { min: 1, max: 32_766 },
                Number(32_766.0),
                "proxies joined here at once",
            ),
        ],
    },
    Section {
        name: "governor",
        repeated: false,
        // This governor, among those that share the fleet.
        fields: &[
            field("name", FieldType::Text, Unset, "letters, digits, `-` and `_`; each governor has its own"),
            field(
                "keys",
                FieldType::Texts,
                Unset,
                "files with secrets that all share; the first signs, all count",
            ),
            field(
                "talk",
                FieldType::Text,
                Unset,
                "where other governors reach this one, by UDP; none without it",
            ),
            field("peers", FieldType::Texts, Unset, "other governors as \"name=address:port\""),
            field(
                "moves_per_s",
                FieldType::Number { min: 0.1, max: 10_000.0 },
                Number(20.0),
                "proxies that are handed over a second, at most",
            ),
        ],
    },
    Section {
        name: "replicas",
        repeated: false,
        // How replicas start.
        fields: &[
            field(
                "cold_share",
                FieldType::Number { min: 0.01, max: 1.0 },
                Number(0.25),
                "share of its capacity at its start, at the worst",
            ),
            field(
                "warm_after",
                FieldType::Seconds { min: 0.0, max: 3600.0 },
                Number(30.0),
                "and how long until it has all",
            ),
        ],
    },
    Section {
        name: "channel",
        repeated: false,
        // What the governor may send.
        fields: &[
            field(
                "lines_per_s",
                FieldType::Number { min: 1.0, max: 1e9 },
                Number(20_000.0),
                "lines a second, to all proxies",
            ),
            field(
                "head_lines",
                FieldType::Number { min: 0.0, max: 1000.0 },
                Number(10.0),
                "what a message costs on top of its lines",
            ),
            field(
                "waiting_most",
                FieldType::Number { min: 1.0, max: 1e9 },
                Number(40_000.0),
                "lines that may wait",
            ),
            field(
                "transit_most",
                FieldType::Seconds { min: 0.0, max: 60.0 },
                Number(0.5),
                "the longest way of a message",
            ),
            field(
                "messages_most",
                FieldType::Whole { min: 8, max: 100_000 },
                Unset,
                "messages to one proxy within `messages_over`",
            ),
            field(
                "messages_over",
                FieldType::Seconds { min: 0.1, max: 3600.0 },
                Number(10.0),
                "the span for that",
            ),
            field(
                "history_versions",
                FieldType::Whole { min: 1, max: 1000 },
                Number(16.0),
                "versions of a proxy's tables that are kept",
            ),
            field(
                "history_lines",
                FieldType::Whole { min: 1000, max: 1_000_000_000 },
                Number(1_000_000.0),
                "lines in all of them, about 150 bytes each",
            ),
            field(
                "crossing_cost",
                FieldType::Number { min: 0.0, max: 1.0 },
                Number(0.05),
                "what a flow into another zone costs",
            ),
        ],
    },
    Section {
        name: "reports",
        repeated: false,
        // Load reports.
        fields: &[
            field(
                "every",
                FieldType::Seconds { min: 0.05, max: 60.0 },
                Number(1.0),
                "how often proxies report",
            ),
            field(
                "lines_per_s",
                FieldType::Number { min: 1.0, max: 1e9 },
                Number(10_000.0),
                "lines the module is given a second",
            ),
            field(
                "metrics",
                FieldType::Texts,
                Unset,
                "load metrics, from `waiting`, `in_hand`, `service_ms`",
            ),
            field("answer", FieldType::Text, Text("answer_ms"), "the metric that holds an answer's time"),
        ],
    },
    Section {
        name: "roster",
        repeated: false,
        // Where the list of replicas comes from.
        fields: &[
            field("file", FieldType::Text, Unset, "a JSON file, replaced whole"),
            field("upstream", FieldType::Text, Unset, "or the URI of an xDS server"),
            field("clusters", FieldType::Texts, Unset, "and the clusters whose endpoints are the replicas"),
            field(
                "look_every",
                FieldType::Seconds { min: 0.02, max: 60.0 },
                Number(0.2),
                "how often the file is looked at",
            ),
            field(
                "empty_after",
                FieldType::Seconds { min: 0.0, max: 86_400.0 },
                Number(30.0),
                "how long an empty list must stand",
            ),
        ],
    },
    Section {
        name: "state",
        repeated: false,
        // What is known beyond a restart.
        fields: &[
            field("folder", FieldType::Text, Unset, "where it lasts; nothing does without it"),
            field(
                "every",
                FieldType::Seconds { min: 0.05, max: 60.0 },
                Number(0.5),
                "how often changes are written",
            ),
        ],
    },
    Section {
        name: "nginx",
        repeated: false,
        // An nginx that follows this governor by files (`wrenthread export nginx`).
        fields: &[
            field(
                "include",
                FieldType::Text,
                Text("wrenthread.conf"),
                "the file that it includes, replaced whole",
            ),
            field(
                "reload",
                FieldType::Texts,
                Unset,
                "the command that has it read the file; none is run without it",
            ),
            field(
                "every",
                FieldType::Seconds { min: 0.05, max: 3600.0 },
                Number(5.0),
                "from one file to the next, at the least",
            ),
            field(
                "drains_every",
                FieldType::Seconds { min: 0.05, max: 3600.0 },
                Number(1.0),
                "the same, for one that shuts something",
            ),
            field(
                "reload_within",
                FieldType::Seconds { min: 0.05, max: 600.0 },
                Number(10.0),
                "the command has failed after it",
            ),
            field("access_log", FieldType::Text, Unset, "its log in our format, read as load reports"),
        ],
    },
    Section {
        name: "listen",
        repeated: false,
        // The sockets.
        fields: &[
            field("grpc", FieldType::Text, Text("127.0.0.1:15010"), "proxies (ADS, LRS, CSDS)"),
            field("http", FieldType::Text, Text("127.0.0.1:15011"), "health, metrics, status"),
            field("poll", FieldType::Text, Unset, "proxies (long-poll); none without it"),
            field(
                "keepalive",
                FieldType::Seconds { min: 0.1, max: 3600.0 },
                Number(10.0),
                "a stream is asked for life so often",
            ),
            field(
                "keepalive_timeout",
                FieldType::Seconds { min: 0.1, max: 3600.0 },
                Number(5.0),
                "and over without an answer",
            ),
        ],
    },
];
