//! The sections of rehearsal scripts.

use super::DefaultValue::{Boolean, Number, Required, Unset};
use super::{FieldType, Section, field};

/// All sections of a rehearsal script.
pub(crate) const DAY_SECTIONS: &[Section] = &[
    Section {
        name: "day",
        repeated: false,
        // The fleet, the request load, and the limits for the rules.
        fields: &[
            field(
                "seconds",
                FieldType::Seconds { min: 1.0, max: 3600.0 },
                Required,
                "duration of the request load",
            ),
            field("halls", FieldType::TextList, Required, "names of the zones"),
            field(
                "workers",
                FieldType::Integer { min: 1, max: 1000 },
                Number(24.0),
                "number of workers, distributed over the halls",
            ),
            field(
                "relays",
                FieldType::Integer { min: 1, max: 1000 },
                Number(16.0),
                "number of relays, distributed over the halls",
            ),
            field(
                "flows_per_s",
                FieldType::Number { min: 0.1, max: 10_000.0 },
                Number(100.0),
                "requests per second over all relays",
            ),
            field(
                "worker_flows_per_s",
                FieldType::Number { min: 0.1, max: 10_000.0 },
                Number(10.0),
                "capacity of a warm worker, in requests per second",
            ),
            field(
                "roster_late",
                FieldType::Seconds { min: 0.0, max: 60.0 },
                Number(1.0),
                "delay until the roster shows a change",
            ),
            field(
                "cold_share",
                FieldType::Number { min: 0.05, max: 1.0 },
                Number(0.25),
                "capacity of a cold worker, as a fraction",
            ),
            field(
                "warm_after",
                FieldType::Seconds { min: 0.1, max: 600.0 },
                Number(12.0),
                "time that a worker takes to warm up",
            ),
            field(
                "drain_grace",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(3.0),
                "no attempt later than this after the roster lists a drain",
            ),
            field(
                "governors",
                FieldType::Integer { min: 1, max: 8 },
                Number(1.0),
                "number of governors that share the relays",
            ),
            field("talk", FieldType::Boolean, Boolean(false), "whether governors send gossip to each other"),
            field(
                "state",
                FieldType::Boolean,
                Boolean(false),
                "whether governors keep their state over a restart",
            ),
            field(
                "nginx",
                FieldType::Boolean,
                Boolean(false),
                "whether settings and roster are imported from an nginx configuration; halls are networks as `127.0.1`",
            ),
            field(
                "care_for",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(5.0),
                "maximum time that a relay may be without a governor",
            ),
            field(
                "bare_for",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(2.0),
                "maximum time that a relay may be without a table entry",
            ),
            field(
                "fall_multiple",
                FieldType::Number { min: 1.0, max: 100.0 },
                Number(2.5),
                "multiple of its even share above which a cold worker fails",
            ),
            field(
                "overload_for",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(1.5),
                "how long a cold worker must be overloaded until it fails",
            ),
        ],
    },
    Section {
        name: "trouble",
        repeated: true,
        // A fault to inject, named by its kind.
        fields: &[
            field("at", FieldType::Seconds { min: 0.0, max: 3600.0 }, Required, "start of the fault"),
            field(
                "lasts",
                FieldType::Seconds { min: 0.0, max: 3600.0 },
                Number(0.0),
                "duration of the fault",
            ),
            field("hall", FieldType::Text, Unset, "zone of the fault"),
            field(
                "share",
                FieldType::Number { min: 0.0, max: 1.0 },
                Number(0.5),
                "fraction of the relays that are affected",
            ),
            field(
                "count",
                FieldType::Integer { min: 1, max: 1000 },
                Number(1.0),
                "number of workers, or of kills in a `storm`",
            ),
            field("late", FieldType::Seconds { min: 0.0, max: 60.0 }, Number(2.0), "delay of load reports"),
            field(
                "step",
                FieldType::Seconds { min: 0.1, max: 600.0 },
                Number(2.0),
                "time between the replacements of two workers in a `deploy`",
            ),
            field("governor", FieldType::Integer { min: 0, max: 7 }, Number(0.0), "index of the governor"),
            field(
                "after_orders",
                FieldType::Integer { min: 0, max: 1000 },
                Number(4.0),
                "messages of a flush that are sent before the kill; 0 kills at once",
            ),
        ],
    },
];
