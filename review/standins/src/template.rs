//! Fills the template of the settings file as the platform does: `{{a.b}}`, `{{a|json}}`, `{{#a}} .. {{/a}}`.

use serde_json::Value;

fn find<'a>(fields: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(fields, |value, name| match value {
        Value::Array(list) => list.get(name.parse::<usize>().ok()?),
        other => other.get(name),
    })
}

pub fn fill(template: &str, fields: &Value) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        filled.push_str(before);
        let (gap, after) = after.split_once("}}").expect("a gap has an end");
        rest = after;
        if let Some(name) = gap.strip_prefix('#') {
            let end = format!("{{{{/{name}}}}}");
            let (inner, after) = rest.split_once(&end).expect("a section has an end");
            rest = after;
            if find(fields, name)
                .is_some_and(|value| !value.is_null() && *value != Value::Bool(false))
            {
                filled.push_str(&fill(inner, fields));
            }
        } else {
            let (name, is_json) =
                gap.strip_suffix("|json").map_or((gap, false), |name| (name, true));
            match find(fields, name) {
                None => {}
                Some(Value::String(text)) if !is_json => filled.push_str(text),
                Some(value) => filled.push_str(&value.to_string()),
            }
        }
    }
    filled.push_str(rest);
    filled
}
