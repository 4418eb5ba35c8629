//! Tests of `files`.

use super::*;
use std::collections::BTreeMap;

struct InMemoryFiles(BTreeMap<&'static str, &'static str>);

impl FileSource for InMemoryFiles {
    fn read(&self, path: &Path, _: u64) -> Result<Vec<u8>, String> {
        let text = self.0.get(&*path.to_string_lossy()).ok_or("no such file")?;
        Ok(text.as_bytes().to_vec())
    }

    fn matching(&self, pattern: &str) -> Result<Vec<PathBuf>, String> {
        let pattern = glob::Pattern::new(pattern).map_err(|error| error.to_string())?;
        Ok(self.0.keys().filter(|path| pattern.matches(path)).map(PathBuf::from).collect())
    }
}

fn read_files(files: &[(&'static str, &'static str)]) -> Result<Configuration, String> {
    read(&InMemoryFiles(files.iter().copied().collect()), Path::new("etc/nginx.conf"))
        .map_err(|error| error.to_string())
}

#[test]
fn includes_files_in_place_sorted_by_name() {
    let read = read_files(&[
        ("etc/nginx.conf", "a;\nhttp { include sites/*.conf; z; }"),
        ("etc/sites/2.conf", "two;"),
        ("etc/sites/1.conf", "one;\nmore;"),
    ]);
    let read = read.unwrap();
    let http = read.directives[1].block();
    let names: Vec<_> = http[0].block().iter().map(|one| one.name.text().into_owned()).collect();
    assert_eq!((names, http.len()), (vec!["one".into(), "more".into(), "two".into()], 2));
    assert_eq!(read.origin(http[0].block()[1].name.at), "etc/sites/1.conf:2");
}

#[test]
fn include_errors_have_the_position_of_the_include() {
    let missing = read_files(&[("etc/nginx.conf", "a;\n include x.conf;")]).unwrap_err();
    assert_eq!(missing, "etc/nginx.conf:2:2: etc/x.conf: no such file");
    let no_match = read_files(&[("etc/nginx.conf", "include none/*.conf;")]).unwrap();
    assert_eq!(no_match.directives[0].block(), [], "a pattern may fit nothing");
    let cycle = [("etc/nginx.conf", "include a.conf;"), ("etc/a.conf", "x { include nginx.conf; }")];
    assert_eq!(read_files(&cycle).unwrap_err(), "etc/a.conf:1:5: etc/nginx.conf includes itself");
    let broken = [("etc/nginx.conf", "include a.conf;"), ("etc/a.conf", "x {\n y")];
    assert_eq!(
        read_files(&broken).unwrap_err(),
        "etc/a.conf:2:2: the file ends within `y`; a `;` is missing"
    );
    assert!(read_files(&[]).unwrap_err().starts_with("etc/nginx.conf: etc/nginx.conf: no such file"));
    assert!(read_files(&[("etc/nginx.conf", "include a b;")]).unwrap_err().contains("takes one name"));
}
