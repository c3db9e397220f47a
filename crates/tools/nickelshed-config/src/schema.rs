//! Sections and keys of a configuration type, read from its JSON schema. The reference page, the comments of
//! a new file and the detection of unknown keys all use this one source.
use schemars::JsonSchema;
use serde_json::Value as Json;

/// The JSON schema of a type.
pub struct TypeSchema {
    root: Json,
}

/// A key of a section.
pub struct Key<'s> {
    pub name: &'s str,
    /// Description of the key, on one line.
    pub description: String,
    /// Description of the format of its value.
    pub value_format: String,
    pub default: Option<&'s Json>,
    pub required: bool,
    schema: &'s Json,
}

impl TypeSchema {
    pub fn of<T: JsonSchema>() -> TypeSchema {
        TypeSchema { root: schemars::schema_for!(T).to_value() }
    }

    pub fn json(&self) -> &Json {
        &self.root
    }

    /// Returns the keys at the top level of the file, including sections, in the order of the type.
    pub fn keys(&self) -> Vec<Key<'_>> {
        self.keys_of_schema(&self.root)
    }

    /// Returns the keys of a section or of the items of a list; none for a plain value.
    pub fn nested_keys<'s>(&'s self, key: &Key<'s>) -> Vec<Key<'s>> {
        let items = key.schema.get("items").unwrap_or(key.schema);
        self.keys_of_schema(items)
    }

    pub fn is_list(key: &Key) -> bool {
        key.schema.get("items").is_some()
    }

    fn keys_of_schema<'s>(&'s self, schema: &'s Json) -> Vec<Key<'s>> {
        let Some(object) = object_schema(schema, &self.root) else { return Vec::new() };
        let required = |name: &str| {
            object
                .get("required")
                .and_then(Json::as_array)
                .is_some_and(|names| names.iter().any(|item| item == name))
        };
        let properties = object.get("properties").and_then(Json::as_object).into_iter().flatten();
        let key = |(name, schema): (&'s String, &'s Json)| Key {
            name,
            description: self.description(schema),
            value_format: self.value_format(schema),
            default: schema.get("default").filter(|d| !d.is_null()),
            required: required(name),
            schema,
        };
        properties.map(key).collect()
    }

    fn description(&self, schema: &Json) -> String {
        let own_description = schema.get("description").and_then(Json::as_str);
        let text =
            own_description.or_else(|| self.resolve(schema).get("description")?.as_str()).unwrap_or_default();
        text.split_whitespace().collect::<Vec<_>>().join(" ")
    }

    fn resolve<'s>(&'s self, schema: &'s Json) -> &'s Json {
        match schema.get("$ref").and_then(Json::as_str).and_then(|r| self.root.pointer(r.strip_prefix('#')?))
        {
            Some(target) => target,
            None => schema,
        }
    }

    fn value_format(&self, schema: &Json) -> String {
        if let Some(reference) = schema.get("$ref").and_then(Json::as_str) {
            match reference.rsplit('/').next() {
                Some("Period") => return "time, such as `\"3s\"`".into(),
                Some("Size") => return "size, such as `\"64KiB\"`".into(),
                Some("Percent") => return "share, such as `\"25%\"`".into(),
                _ => return self.value_format(self.resolve(schema)),
            }
        }
        for keyword in ["anyOf", "oneOf"] {
            let Some(choices) = schema.get(keyword).and_then(Json::as_array) else { continue };
            let values: Vec<String> =
                choices.iter().filter_map(|c| Some(format!("`\"{}\"`", c.get("const")?.as_str()?))).collect();
            if !values.is_empty() {
                return values.join(", ");
            }
            let alternatives = choices.iter().filter(|c| c.get("type").is_none_or(|t| t != "null"));
            return alternatives.map(|c| self.value_format(c)).collect::<Vec<_>>().join(", or ");
        }
        if let Some(values) = schema.get("enum").and_then(Json::as_array) {
            return values.iter().map(|value| format!("`{value}`")).collect::<Vec<_>>().join(", ");
        }
        if let Some(items) = schema.get("items") {
            return format!("list of: {}", self.value_format(items));
        }
        let type_name = match schema.get("type") {
            Some(Json::Array(names)) => names.iter().filter_map(Json::as_str).find(|k| *k != "null"),
            other => other.and_then(Json::as_str),
        };
        match type_name {
            Some("string") => "text".into(),
            Some("boolean") => "`true` or `false`".into(),
            Some("integer") => "integer".into(),
            Some("number") => "number".into(),
            Some("object") => "table".into(),
            other => other.unwrap_or("any").into(),
        }
    }
}

/// Returns the part of a schema that defines the keys of an object, following references and alternatives.
pub fn object_schema<'s>(schema: &'s Json, root: &'s Json) -> Option<&'s Json> {
    if let Some(reference) = schema.get("$ref").and_then(Json::as_str) {
        return object_schema(root.pointer(reference.strip_prefix('#')?)?, root);
    }
    if schema.get("properties").is_some() {
        return Some(schema);
    }
    let alternatives = ["anyOf", "oneOf", "allOf"].iter().filter_map(|k| schema.get(k)?.as_array()).flatten();
    alternatives.filter_map(|c| object_schema(c, root)).next()
}
