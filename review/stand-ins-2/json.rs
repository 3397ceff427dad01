//! A small JSON reader and writer for the stand-ins.

/// A JSON value; objects keep their order.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(value) => value.to_string(),
            Json::Number(number) => number.to_string(),
            Json::Text(text) => quoted(text),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::write).collect();
                format!("[{}]", items.join(","))
            }
            Json::Object(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(name, it)| format!("{}:{}", quoted(name), it.write()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for it in text.chars() {
        match it {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            it if (it as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", it as u32)),
            it => quoted.push(it),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.bytes.get(self.at..self.at + word.len())?;
        self.at += word.len();
        (rest == word.as_bytes()).then_some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let it = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend(it.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }
}
