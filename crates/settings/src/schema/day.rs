//! The sections of the script of a rehearsed day.

use super::DefaultValue::{Flag, Number, Required, Unset};
use super::{FieldType, Section, field};

/// All sections.
pub(crate) const DAY: &[Section] = &[
    Section {
        name: "day",
        repeated: false,
        // The fleet and its flows.
        fields: &[
            field("seconds", FieldType::Seconds { min: 1.0, max: 3600.0 }, Required, "how long flows come"),
            field("halls", FieldType::Texts, Required, "zones"),
            field(
                "workers",
                FieldType::Whole { min: 1, max: 1000 },
                Number(24.0),
                "workers, dealt to the halls",
            ),
            field(
                "relays",
                FieldType::Whole { min: 1, max: 1000 },
                Number(16.0),
                "relays, dealt to the halls",
            ),
            field(
                "flows_per_s",
                FieldType::Number { min: 0.1, max: 10_000.0 },
                Number(100.0),
                "over all relays",
            ),
            field(
                "worker_flows_per_s",
                FieldType::Number { min: 0.1, max: 10_000.0 },
                Number(10.0),
                "what a warm worker can do",
            ),
            field(
                "roster_late",
                FieldType::Seconds { min: 0.0, max: 60.0 },
                Number(1.0),
                "how late the roster is",
            ),
            field(
                "cold_share",
                FieldType::Number { min: 0.05, max: 1.0 },
                Number(0.25),
                "what a cold worker can do",
            ),
            field(
                "warm_after",
                FieldType::Seconds { min: 0.1, max: 600.0 },
                Number(12.0),
                "and for how long",
            ),
            field(
                "drain_grace",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(3.0),
                "no try so long after a drain was listed",
            ),
            field(
                "governors",
                FieldType::Whole { min: 1, max: 8 },
                Number(1.0),
                "governors that share the relays",
            ),
            field("talk", FieldType::Flag, Flag(false), "they may talk to each other"),
            field("state", FieldType::Flag, Flag(false), "governors know what they knew before a restart"),
            field(
                "nginx",
                FieldType::Flag,
                Flag(false),
                "settings and roster are imported from nginx's; halls are networks as `127.0.1`",
            ),
            field(
                "care_for",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(5.0),
                "no relay without a governor for so long",
            ),
            field(
                "bare_for",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(2.0),
                "no relay without a line for so long",
            ),
            field(
                "fall_multiple",
                FieldType::Number { min: 1.0, max: 100.0 },
                Number(2.5),
                "a cold worker falls at so many times its part",
            ),
            field(
                "overload_for",
                FieldType::Seconds { min: 0.1, max: 60.0 },
                Number(1.5),
                "brought for so long",
            ),
        ],
    },
    Section {
        name: "trouble",
        repeated: true,
        // What goes wrong, by kind.
        fields: &[
            field("at", FieldType::Seconds { min: 0.0, max: 3600.0 }, Required, "when it begins"),
            field("lasts", FieldType::Seconds { min: 0.0, max: 3600.0 }, Number(0.0), "how long"),
            field("hall", FieldType::Text, Unset, "where"),
            field(
                "share",
                FieldType::Number { min: 0.0, max: 1.0 },
                Number(0.5),
                "how many of those concerned",
            ),
            field("count", FieldType::Whole { min: 1, max: 1000 }, Number(1.0), "how many workers"),
            field("late", FieldType::Seconds { min: 0.0, max: 60.0 }, Number(2.0), "how late reports come"),
            field(
                "step",
                FieldType::Seconds { min: 0.1, max: 600.0 },
                Number(2.0),
                "from one worker of a deploy to the next",
            ),
            field("governor", FieldType::Whole { min: 0, max: 7 }, Number(0.0), "which governor"),
            field(
                "after_orders",
                FieldType::Whole { min: 0, max: 1000 },
                Number(4.0),
                "orders of a flush that still go out; 0: at once",
            ),
        ],
    },
];
