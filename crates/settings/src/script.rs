//! Runs a script and records its calls of section functions, each with its line. Only names are checked here, not
//! values. Scripts have no access to files or the network, and their steps and memory are limited.

use std::cell::RefCell;
use std::collections::BTreeMap;

use starlark::any::ProvidesStaticType;
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;

use crate::error::{Problem, SettingError, SettingErrors};
use crate::schema::{self, Section};

/// Size limit of a script, in bytes.
const MAX_SCRIPT_BYTES: usize = 1 << 20;
/// Maximum number of interpreter steps.
const MAX_STEPS: u64 = 500_000;
/// Limit of the interpreter's memory, in bytes.
const MAX_HEAP_BYTES: usize = 32 << 20;
/// Maximum depth of nested calls.
const MAX_CALL_DEPTH: usize = 100;
/// Maximum number of calls for one section.
const MAX_CALLS: usize = 4096;

/// One call of a section's function.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) line: usize,
    /// The name given to a repeated section; empty for sections that are given once.
    pub(crate) name: String,
    pub(crate) fields: BTreeMap<String, serde_json::Value>,
}

/// All calls of a script, by section.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    by_section: BTreeMap<&'static str, Vec<Call>>,
}

impl Calls {
    pub(crate) fn all(&self, section: &str) -> &[Call] {
        self.by_section.get(section).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn first(&self, section: &str) -> Option<&Call> {
        self.all(section).first()
    }
}

/// Collects the calls and errors of a running script.
#[derive(Debug, Default, ProvidesStaticType)]
struct Recorder {
    calls: RefCell<Calls>,
    errors: RefCell<Vec<SettingError>>,
}

/// Where a script calls a section's function.
struct CallSite {
    file: String,
    line: usize,
}

impl CallSite {
    fn of(eval: &Evaluator) -> Self {
        match eval.call_stack_top_location() {
            Some(span) => {
                CallSite { file: span.filename().to_string(), line: span.resolve_span().begin.line + 1 }
            }
            None => CallSite { file: String::new(), line: 0 },
        }
    }
}

impl Recorder {
    fn report(&self, call_site: &CallSite, problem: Problem) {
        let reason = problem.to_string();
        self.errors.borrow_mut().push(SettingError {
            file: call_site.file.clone(),
            line: call_site.line,
            reason,
        });
    }

    /// Returns the valid fields of a call and reports the others: fields that the section does not have, and values
    /// that can't be converted to JSON.
    fn fields(
        &self,
        call_site: &CallSite,
        section: &Section,
        arguments: SmallMap<String, Value>,
    ) -> BTreeMap<String, serde_json::Value> {
        let mut fields = BTreeMap::new();
        for (field, value) in arguments {
            if section.field_names().all(|known| known != field) {
                let hint = hint(&field, section);
                self.report(call_site, Problem::UnknownField { section: section.name, field, hint });
                continue;
            }
            match value.to_json_value() {
                Ok(value) => drop(fields.insert(field, value)),
                Err(_) => {
                    let type_name = value.get_type();
                    self.report(
                        call_site,
                        Problem::UnsupportedType { section: section.name, field, type_name },
                    );
                }
            }
        }
        fields
    }
}

/// A hint for a field that the section does not have: a similar name, or all names.
fn hint(field: &str, section: &Section) -> String {
    match schema::most_similar(field, section.field_names()) {
        Some(similar) => format!("did you mean `{similar}`?"),
        None => {
            let known: Vec<&str> = section.field_names().collect();
            format!("it takes {}", known.join(", "))
        }
    }
}

/// Records the call of a section without a name.
fn record<'v>(
    section: &str,
    arguments: SmallMap<String, Value<'v>>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    record_named(section, "", arguments, eval)
}

/// Records the call of a section that may be repeated with different names.
fn record_named<'v>(
    section: &str,
    name: &str,
    arguments: SmallMap<String, Value<'v>>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let Some(section) = schema::section(section) else { anyhow::bail!("unknown section `{section}`") };
    let call_site = CallSite::of(eval);
    let Some(recorder) = eval.extra.and_then(|extra| extra.downcast_ref::<Recorder>()) else {
        anyhow::bail!("`{}` can't be called here", section.name);
    };
    let fields = recorder.fields(&call_site, section, arguments);
    let mut calls = recorder.calls.borrow_mut();
    let calls = calls.by_section.entry(section.name).or_default();
    if calls.len() >= MAX_CALLS {
        anyhow::bail!("`{}` is given more than {MAX_CALLS} times", section.name);
    }
    if let Some(first) = calls.first().filter(|_| !section.repeated) {
        let problem = Problem::RepeatedSection { section: section.name, line: first.line };
        recorder.report(&call_site, problem);
    }
    calls.push(Call { line: call_site.line, name: name.to_string(), fields });
    Ok(NoneType)
}

#[starlark_module]
fn sections(builder: &mut GlobalsBuilder) {
    fn group<'v>(
        #[starlark(require = pos)] name: &str,
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_named("group", name, kwargs, eval)
    }

    fn fleet<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("fleet", kwargs, eval)
    }

    fn governor<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("governor", kwargs, eval)
    }

    fn replicas<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("replicas", kwargs, eval)
    }

    fn channel<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("channel", kwargs, eval)
    }

    fn reports<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("reports", kwargs, eval)
    }

    fn roster<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("roster", kwargs, eval)
    }

    fn state<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("state", kwargs, eval)
    }

    fn nginx<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("nginx", kwargs, eval)
    }

    fn listen<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("listen", kwargs, eval)
    }
}

#[starlark_module]
fn day_sections(builder: &mut GlobalsBuilder) {
    fn day<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record("day", kwargs, eval)
    }

    fn trouble<'v>(
        #[starlark(require = pos)] kind: &str,
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_named("trouble", kind, kwargs, eval)
    }
}

/// The kind of a script, which decides the sections that it may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ScriptKind {
    Settings,
    Day,
}

/// Runs a script and returns its calls.
///
/// Errors: the script fails, with the line; or all unknown fields and sections given twice.
pub(crate) fn run(file: &str, text: &str, kind: ScriptKind) -> Result<Calls, SettingErrors> {
    if text.len() > MAX_SCRIPT_BYTES {
        let problem = Problem::ScriptTooLarge { bytes: text.len(), limit: MAX_SCRIPT_BYTES };
        return Err(SettingErrors::single(file, 0, &problem));
    }
    let dialect = Dialect { enable_top_level_stmt: true, enable_f_strings: true, ..Dialect::Standard };
    let ast =
        AstModule::parse(file, text.to_owned(), &dialect).map_err(|error| script_error(file, &error))?;
    let globals = GlobalsBuilder::standard();
    let globals: Globals = match kind {
        ScriptKind::Settings => globals.with(sections).build(),
        ScriptKind::Day => globals.with(day_sections).build(),
    };
    let recorder = Recorder::default();
    evaluate(ast, &globals, &recorder).map_err(|error| script_error(file, &error))?;
    let errors = recorder.errors.take();
    if errors.is_empty() { Ok(recorder.calls.take()) } else { Err(SettingErrors { errors }) }
}

fn evaluate(ast: AstModule, globals: &Globals, recorder: &Recorder) -> Result<(), starlark::Error> {
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(recorder);
        let bounded = eval
            .set_max_callstack_size(MAX_CALL_DEPTH)
            .and_then(|()| eval.set_max_heap_size(MAX_HEAP_BYTES))
            .and_then(|()| eval.set_max_tick_count(MAX_STEPS));
        bounded.map_err(starlark::Error::new_other)?;
        eval.eval_module(ast, globals).map(drop)
    })
}

fn script_error(file: &str, error: &starlark::Error) -> SettingErrors {
    let line = error.span().map_or(0, |span| span.resolve_span().begin.line + 1);
    let problem = Problem::Script(error.without_diagnostic().to_string());
    SettingErrors::single(file, line, &problem)
}
