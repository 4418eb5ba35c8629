//! Runs the script and keeps what it said, each with the line on which it was said. Nothing is checked here
//! but names; the script can read nothing and reach nothing, and its steps and memory are bounded.

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

use crate::schema::{self, Section};
use crate::{Fault, Faults};

/// A script larger than this is no settings.
const MOST_BYTES: usize = 1 << 20;
const MOST_STEPS: u64 = 500_000;
const MOST_MEMORY: usize = 32 << 20;
const MOST_DEPTH: usize = 100;
/// No settings have more groups, as the module keeps sets of them in 64 bits.
const MOST_CALLS: usize = 4096;

/// One call of a section's function.
#[derive(Debug, Clone)]
pub struct Said {
    pub line: usize,
    /// Empty for sections that are said once.
    pub name: String,
    pub fields: BTreeMap<String, serde_json::Value>,
}

/// All that a script said, by section.
#[derive(Debug, Default, ProvidesStaticType)]
pub struct Draft {
    pub said: RefCell<BTreeMap<&'static str, Vec<Said>>>,
    pub faults: RefCell<Vec<Fault>>,
}

fn say<'v>(
    section: &'static Section,
    name: &str,
    kwargs: SmallMap<String, Value<'v>>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let span = eval.call_stack_top_location();
    let line = span.as_ref().map_or(0, |span| span.resolve_span().begin.line + 1);
    let file = span.map_or_else(String::new, |span| span.filename().to_string());
    let Some(draft) = eval.extra.and_then(|extra| extra.downcast_ref::<Draft>()) else {
        anyhow::bail!("`{}` can't be called here", section.name);
    };
    let fault = |why: String| draft.faults.borrow_mut().push(Fault { file: file.clone(), line, why });
    let mut fields = BTreeMap::new();
    for (field, value) in kwargs {
        if !section.fields.iter().any(|known| known.name == field) {
            let near = schema::nearest(&field, section.fields.iter().map(|known| known.name));
            let near = near.map_or_else(
                || {
                    let known: Vec<_> = section.fields.iter().map(|known| known.name).collect();
                    format!("it takes {}", known.join(", "))
                },
                |near| format!("did you mean `{near}`?"),
            );
            fault(format!("`{}` has no `{field}`; {near}", section.name));
            continue;
        }
        match value.to_json_value() {
            Ok(value) => drop(fields.insert(field, value)),
            Err(_) => fault(format!(
                "`{field}` of `{}` is a {}, which is no setting",
                section.name,
                value.get_type()
            )),
        }
    }
    let mut said = draft.said.borrow_mut();
    let said = said.entry(section.name).or_default();
    if said.len() >= MOST_CALLS {
        anyhow::bail!("`{}` is said more than {MOST_CALLS} times", section.name);
    }
    if !section.many && !said.is_empty() {
        fault(format!("`{}` was said already, on line {}; say it once", section.name, said[0].line));
    }
    said.push(Said { line, name: name.to_string(), fields });
    Ok(NoneType)
}

macro_rules! once {
    ($name:literal, $kwargs:expr, $eval:expr) => {
        say(schema::section($name).expect("a section of the schema"), "", $kwargs, $eval)
    };
}

#[starlark_module]
fn sections(builder: &mut GlobalsBuilder) {
    fn group<'v>(
        #[starlark(require = pos)] name: &str,
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        say(schema::section("group").expect("a section of the schema"), name, kwargs, eval)
    }

    fn fleet<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("fleet", kwargs, eval)
    }

    fn governor<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("governor", kwargs, eval)
    }

    fn replicas<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("replicas", kwargs, eval)
    }

    fn channel<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("channel", kwargs, eval)
    }

    fn reports<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("reports", kwargs, eval)
    }

    fn roster<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("roster", kwargs, eval)
    }

    fn state<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("state", kwargs, eval)
    }

    fn nginx<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("nginx", kwargs, eval)
    }

    fn listen<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("listen", kwargs, eval)
    }
}

#[starlark_module]
fn day_sections(builder: &mut GlobalsBuilder) {
    fn day<'v>(
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        once!("day", kwargs, eval)
    }

    fn trouble<'v>(
        #[starlark(require = pos)] kind: &str,
        #[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        say(schema::section("trouble").expect("a section of the schema"), kind, kwargs, eval)
    }
}

/// What a script is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum About {
    Settings,
    Day,
}

/// Runs a script, and says what it said.
///
/// Errors: what the script can't be run for, with the line; faults of names.
pub fn run(file: &str, text: &str, about: About) -> Result<Draft, Faults> {
    let whole = |why: String| Faults(vec![Fault { file: file.to_string(), line: 0, why }]);
    if text.len() > MOST_BYTES {
        return Err(whole(format!("{} bytes; {MOST_BYTES} are allowed", text.len())));
    }
    let dialect = Dialect { enable_top_level_stmt: true, enable_f_strings: true, ..Dialect::Standard };
    let ast = AstModule::parse(file, text.to_owned(), &dialect).map_err(|error| located(file, &error))?;
    let globals = GlobalsBuilder::standard();
    let globals: Globals = match about {
        About::Settings => globals.with(sections).build(),
        About::Day => globals.with(day_sections).build(),
    };
    let draft = Draft::default();
    let ran = Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&draft);
        let bounded = eval
            .set_max_callstack_size(MOST_DEPTH)
            .and_then(|()| eval.set_max_heap_size(MOST_MEMORY))
            .and_then(|()| eval.set_max_tick_count(MOST_STEPS));
        bounded.map_err(starlark::Error::new_other)?;
        eval.eval_module(ast, &globals).map(drop)
    });
    ran.map_err(|error| located(file, &error))?;
    let faults = draft.faults.take();
    if faults.is_empty() { Ok(draft) } else { Err(Faults(faults)) }
}

fn located(file: &str, error: &starlark::Error) -> Faults {
    let line = error.span().map_or(0, |span| span.resolve_span().begin.line + 1);
    Faults(vec![Fault { file: file.to_string(), line, why: error.without_diagnostic().to_string() }])
}
