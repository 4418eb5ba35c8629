//! Field names and values of the settings object, as the simulator and the platform write them.

pub const GOVERNOR_COUNT: &str = "siblings";
pub const ZONES: &str = "zones";

pub const CLASSES: &str = "categories";
pub const NAME: &str = "name";
pub const IDEMPOTENCY: &str = "effect";
pub const IDEMPOTENT: &str = "retryable";
pub const IDEMPOTENT_WITH_KEY: &str = "dedup";
pub const DEDUPLICATION_SCOPE: &str = "group";
pub const SCOPE_ALL: &str = "all";
pub const SCOPE_CELL: &str = "cell";
pub const DEDUPLICATION_WINDOW_MICROS: &str = "key_ttl_us";
pub const LATENCY_OBJECTIVE_MICROS: &str = "objective_us";
pub const REQUEST_DEADLINE_MICROS: &str = "deadline_us";
pub const PRIORITY_WEIGHT: &str = "worth";

pub const EXTRA: &str = "extra";
pub const KEY_SLICES: &str = "shards";
pub const PROXY_COUNT: &str = "agents";
pub const DEFAULT_TABLE_SIZE: &str = "bootstrap";
pub const LOCAL_EJECTION: &str = "ejects";
pub const REPORT_INTERVAL_MICROS: &str = "cycle_us";
pub const ENTRIES_PER_SECOND: &str = "channel_rate";
pub const MESSAGE_OVERHEAD: &str = "per_message";
pub const MAX_QUEUED_ENTRIES: &str = "most_waiting";
pub const MAX_TRANSIT_DELAY_MICROS: &str = "worst_transit_us";
pub const MESSAGE_LIMIT: &str = "update_cap";
pub const MESSAGE_LIMIT_INTERVAL_MICROS: &str = "messages_over_us";
pub const ADMISSION_CONTROL: &str = "level_kind";
pub const ADMISSION_BY_FRACTION: &str = "ratio";
pub const ADMISSION_BY_RATE: &str = "rps";
pub const DEFAULT_RETRY_POLICY: &str = "retry_default";
pub const SAME_ZONE_ONLY: &str = "class_own_zone";

pub const RULES: &str = "rules";
pub const INITIAL_CAPACITY_FRACTION: &str = "cold_from";
pub const SLOW_START_DURATION_MICROS: &str = "warm_after_us";

pub const LIMITS: &str = "limits";
pub const HEALTH_CHECKS_ALLOWED: &str = "probes";

pub const PENALTIES: &str = "penalties";
pub const CROSS_ZONE_COST: &str = "cross_zone";
pub const HEALTH_CHECK_COST: &str = "probe";

pub const REPORT: &str = "report";
pub const LOAD_FIELDS: &str = "fields";
pub const LOAD_IN_FLIGHT: &str = "inflight";
pub const LOAD_QUEUED: &str = "queue";
pub const LOAD_SERVICE_MILLIS: &str = "latency_ms";
