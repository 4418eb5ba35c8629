//! The sections of settings scripts.

use super::DefaultValue::{Boolean, Number, Required, Text, Unset};
use super::{FieldType, Section, field};

/// All sections of a settings script. The first is the fallback for an unknown section name.
pub(crate) const SETTINGS_SECTIONS: &[Section] = &[
    Section {
        name: "group",
        repeated: true,
        // A traffic class: a cluster of its own, and the route to it.
        fields: &[
            field(
                "effect",
                FieldType::OneOf(&["retriable", "deduped", "non-retriable"]),
                Text("non-retriable"),
                "whether a request may be executed twice",
            ),
            field(
                "deduped_by",
                FieldType::OneOf(&["all", "zone", "pack"]),
                Unset,
                "which replicas recognise a repeated request",
            ),
            field(
                "deduped_for",
                FieldType::Seconds { min: 0.001, max: 86_400.0 },
                Unset,
                "how long after the first attempt they recognise it",
            ),
            field(
                "latency_budget",
                FieldType::Seconds { min: 0.001, max: 3600.0 },
                Required,
                "latency objective of a request",
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
                "priority weight of a request",
            ),
            field(
                "own_zone",
                FieldType::Boolean,
                Boolean(false),
                "whether requests may only go to replicas in the proxy's zone",
            ),
            field("prefix", FieldType::Text, Unset, "path prefix of the group's requests"),
            field(
                "header",
                FieldType::Text,
                Unset,
                "header of the group's requests as `name: value`, instead of a prefix",
            ),
            field(
                "paths",
                FieldType::TextList,
                Unset,
                "or several paths: \"/prefix\", \"= /exact\", \"^~ /prefix before patterns\", \"~ pattern\", \
                 \"~* pattern of any case\"",
            ),
        ],
    },
    Section {
        name: "fleet",
        repeated: false,
        // The proxies and governors.
        fields: &[
            field(
                "zones",
                FieldType::TextList,
                Required,
                "the zones, by the names used in xDS nodes and in the roster",
            ),
            field(
                "governors",
                FieldType::Integer { min: 1, max: 1000 },
                Number(1.0),
                "number of governors that share the proxies",
            ),
            field(
                "proxies",
                FieldType::Integer { min: 1, max: 1_000_000 },
                Required,
                "number of proxies of all governors together",
            ),
            field(
                "standing_lines",
                FieldType::Integer { min: 1, max: 1000 },
                Number(12.0),
                "number of replicas in a default table",
            ),
            field(
                "usual",
                FieldType::Number { min: 0.0, max: 1e9 },
                Number(1.0),
                "requests per second of a proxy that does not state its own",
            ),
            field(
                "proxies_avoid",
                FieldType::Boolean,
                Boolean(false),
                "whether proxies eject replicas locally after failed attempts",
            ),
            field(
                "tries",
                FieldType::OneOf(&["never", "if-never-ran", "once"]),
                Text("never"),
                "default retry policy of proxies",
            ),
            field(
                "levels",
                FieldType::Boolean,
                Boolean(true),
                "whether proxies enforce admission fractions (drop_overloads)",
            ),
            field(
                "joined_most",
                FieldType::Integer { min: 1, max: 32_766 },
                Number(32_766.0),
                "maximum number of proxies connected to this governor",
            ),
        ],
    },
    Section {
        name: "governor",
        repeated: false,
        // This governor, one of those that share the fleet.
        fields: &[
            field(
                "name",
                FieldType::Text,
                Unset,
                "unique name of this governor: letters, digits, `-` and `_`",
            ),
            field(
                "keys",
                FieldType::TextList,
                Unset,
                "files with the keys that all governors share; the first signs, all are valid",
            ),
            field(
                "talk",
                FieldType::Text,
                Unset,
                "UDP address at which other governors reach this one; no gossip without it",
            ),
            field("peers", FieldType::TextList, Unset, "other governors as \"name=address:port\""),
            field(
                "moves_per_s",
                FieldType::Number { min: 0.1, max: 10_000.0 },
                Number(20.0),
                "maximum number of proxies moved to other governors per second",
            ),
        ],
    },
    Section {
        name: "replicas",
        repeated: false,
        // Slow start of replicas.
        fields: &[
            field(
                "cold_share",
                FieldType::Number { min: 0.01, max: 1.0 },
                Number(0.25),
                "lowest capacity fraction of a replica at its start",
            ),
            field(
                "warm_after",
                FieldType::Seconds { min: 0.0, max: 3600.0 },
                Number(30.0),
                "time until a replica has its full capacity",
            ),
        ],
    },
    Section {
        name: "channel",
        repeated: false,
        // Limits for the messages that the governor sends.
        fields: &[
            field(
                "lines_per_s",
                FieldType::Number { min: 1.0, max: 1e9 },
                Number(20_000.0),
                "maximum number of table entries sent per second, over all proxies",
            ),
            field(
                "head_lines",
                FieldType::Number { min: 0.0, max: 1000.0 },
                Number(10.0),
                "overhead of a message in addition to its entries, in entries",
            ),
            field(
                "waiting_most",
                FieldType::Number { min: 1.0, max: 1e9 },
                Number(40_000.0),
                "maximum number of queued entries",
            ),
            field(
                "transit_most",
                FieldType::Seconds { min: 0.0, max: 60.0 },
                Number(0.5),
                "maximum transit delay of a message",
            ),
            field(
                "messages_most",
                FieldType::Integer { min: 8, max: 100_000 },
                Unset,
                "maximum number of messages to one proxy within `messages_over`",
            ),
            field(
                "messages_over",
                FieldType::Seconds { min: 0.1, max: 3600.0 },
                Number(10.0),
                "the interval to which `messages_most` applies",
            ),
            field(
                "history_versions",
                FieldType::Integer { min: 1, max: 1000 },
                Number(16.0),
                "number of retained versions of a proxy's tables",
            ),
            field(
                "history_lines",
                FieldType::Integer { min: 1000, max: 1_000_000_000 },
                Number(1_000_000.0),
                "maximum number of entries in all retained versions, about 150 bytes each",
            ),
            field(
                "crossing_cost",
                FieldType::Number { min: 0.0, max: 1.0 },
                Number(0.05),
                "cost of a request to another zone",
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
                "interval between load reports of a proxy",
            ),
            field(
                "lines_per_s",
                FieldType::Number { min: 1.0, max: 1e9 },
                Number(10_000.0),
                "maximum number of report entries processed per second",
            ),
            field(
                "metrics",
                FieldType::TextList,
                Unset,
                "load metrics, from `waiting`, `in_hand`, `service_ms`",
            ),
            field("answer", FieldType::Text, Text("answer_ms"), "the metric that contains response times"),
        ],
    },
    Section {
        name: "roster",
        repeated: false,
        // Where the list of replicas comes from.
        fields: &[
            field("file", FieldType::Text, Unset, "a JSON file, replaced as a whole when it changes"),
            field("upstream", FieldType::Text, Unset, "or the URI of an xDS server"),
            field(
                "clusters",
                FieldType::TextList,
                Unset,
                "and the clusters whose endpoints are the replicas",
            ),
            field(
                "look_every",
                FieldType::Seconds { min: 0.02, max: 60.0 },
                Number(0.2),
                "interval between checks of the file for changes",
            ),
            field(
                "empty_after",
                FieldType::Seconds { min: 0.0, max: 86_400.0 },
                Number(30.0),
                "how long the list must stay empty before it is applied",
            ),
        ],
    },
    Section {
        name: "state",
        repeated: false,
        // State that outlasts a restart.
        fields: &[
            field("folder", FieldType::Text, Unset, "folder of the state; without it, no state is kept"),
            field(
                "every",
                FieldType::Seconds { min: 0.05, max: 60.0 },
                Number(0.5),
                "interval between writes of changes",
            ),
        ],
    },
    Section {
        name: "nginx",
        repeated: false,
        // An nginx that gets its tables as a generated file (`wrenthread export nginx`).
        fields: &[
            field(
                "include",
                FieldType::Text,
                Text("wrenthread.conf"),
                "the generated file that nginx includes, replaced as a whole",
            ),
            field(
                "reload",
                FieldType::TextList,
                Unset,
                "command that makes nginx reload its configuration; none is run without it",
            ),
            field(
                "every",
                FieldType::Seconds { min: 0.05, max: 3600.0 },
                Number(5.0),
                "minimum time between two versions of the file",
            ),
            field(
                "drains_every",
                FieldType::Seconds { min: 0.05, max: 3600.0 },
                Number(1.0),
                "minimum time before a version that drains or ejects a replica",
            ),
            field(
                "reload_within",
                FieldType::Seconds { min: 0.05, max: 600.0 },
                Number(10.0),
                "timeout of the reload command",
            ),
            field(
                "access_log",
                FieldType::Text,
                Unset,
                "nginx's access log in wrenthread's format, from which load reports are made",
            ),
        ],
    },
    Section {
        name: "listen",
        repeated: false,
        // Listening addresses.
        fields: &[
            field(
                "grpc",
                FieldType::Text,
                Text("127.0.0.1:15010"),
                "listening address for proxies that use gRPC (ADS, LRS, CSDS)",
            ),
            field(
                "http",
                FieldType::Text,
                Text("127.0.0.1:15011"),
                "listening address for health, metrics and status",
            ),
            field(
                "poll",
                FieldType::Text,
                Unset,
                "listening address for proxies that use long polling; none without it",
            ),
            field(
                "keepalive",
                FieldType::Seconds { min: 0.1, max: 3600.0 },
                Number(10.0),
                "interval between keepalive pings on a stream",
            ),
            field(
                "keepalive_timeout",
                FieldType::Seconds { min: 0.1, max: 3600.0 },
                Number(5.0),
                "timeout of a keepalive ping, after which the stream is closed",
            ),
        ],
    },
];
