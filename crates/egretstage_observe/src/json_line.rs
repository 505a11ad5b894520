//! Encodes each log record as one line of JSON.
//!
//! The JSON encoder of `log4rs` turns structured values into text; this one
//! keeps them as JSON, so that the fields of a decision line can be queried.

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use log4rs::encode::{Encode, Write};
use serde_json::Map;

/// Writes `time`, `level`, `target`, `message` and the record's key-value pairs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonLineEncoder;

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value)
            .unwrap_or_else(|_| serde_json::Value::String(value.to_string()));
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

impl Encode for JsonLineEncoder {
    fn encode(&self, w: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Map::new();
        let time = chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Micros, true);
        line.insert("time".to_owned(), time.into());
        line.insert("level".to_owned(), record.level().as_str().into());
        line.insert("target".to_owned(), record.target().into());
        line.insert("message".to_owned(), record.args().to_string().into());
        record.key_values().visit(&mut Fields(&mut line))?;
        let mut text = serde_json::to_vec(&line)?;
        text.push(b'\n');
        w.write_all(&text)?;
        Ok(())
    }
}
