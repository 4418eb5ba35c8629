//! The schema of scripts: sections, and the name, type, default and description of each field.

mod day;
mod settings;

pub(crate) use day::DAY_SECTIONS;
pub(crate) use settings::SETTINGS_SECTIONS;

/// Minimum Jaro-Winkler similarity at which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// The type of a field. Bounds are inclusive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum FieldType {
    Number { min: f64, max: f64 },
    Integer { min: u64, max: u64 },
    Seconds { min: f64, max: f64 },
    Boolean,
    Text,
    TextList,
    OneOf(&'static [&'static str]),
}

/// The value of a field that a script does not set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum DefaultValue {
    /// There is no default; the field must be set.
    Required,
    /// The field has no value; validation decides what that means.
    Unset,
    Number(f64),
    Boolean(bool),
    Text(&'static str),
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) field_type: FieldType,
    pub(crate) default: DefaultValue,
    /// The description shown in error messages.
    pub(crate) description: &'static str,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Section {
    pub(crate) name: &'static str,
    /// Whether the section may be given several times, each with a name, instead of once at most.
    pub(crate) repeated: bool,
    pub(crate) fields: &'static [Field],
}

impl Section {
    pub(crate) fn field_names(&self) -> impl Iterator<Item = &'static str> {
        self.fields.iter().map(|field| field.name)
    }
}

const fn field(
    name: &'static str,
    field_type: FieldType,
    default: DefaultValue,
    description: &'static str,
) -> Field {
    Field { name, field_type, default, description }
}

/// The section with this name, in settings or in rehearsal scripts.
pub(crate) fn section(name: &str) -> Option<&'static Section> {
    SETTINGS_SECTIONS.iter().chain(DAY_SECTIONS).find(|section| section.name == name)
}

/// The known name most similar to an unknown one, if any is similar enough.
pub(crate) fn most_similar<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let similarity = |known: &str| strsim::jaro_winkler(name, known);
    let similar = known.filter(|known| similarity(known) > MIN_SIMILARITY);
    similar.max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
}

impl FieldType {
    /// The expected values, described for error messages.
    pub(crate) fn describe(&self) -> String {
        match self {
            FieldType::Number { min, max } => format!("a number from {min} to {max}"),
            FieldType::Integer { min, max } => format!("a whole number from {min} to {max}"),
            FieldType::Seconds { min, max } => format!("seconds, from {min} to {max}"),
            FieldType::Boolean => "True or False".to_string(),
            FieldType::Text => "a text".to_string(),
            FieldType::TextList => "a list of texts, none twice".to_string(),
            FieldType::OneOf(names) => {
                let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
                quoted.join(" or ")
            }
        }
    }
}
