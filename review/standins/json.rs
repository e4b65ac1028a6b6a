//! JSON as far as the stand-in for the store needs it.

/// A JSON value. Numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a whole text.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    /// Returns a member of a table.
    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(members) => members.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(byte)
    }

    /// Skips space and consumes a byte if it is the next one.
    fn accept(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Json> {
        if self.accept(b'{') {
            return self.table();
        }
        if self.accept(b'[') {
            return self.list();
        }
        if self.accept(b'"') {
            return self.text().map(Json::Text);
        }
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
        {
            self.at += 1;
        }
        let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        match word {
            "" => None,
            "null" => Some(Json::Null),
            _ => Some(Json::Number(word.to_owned())),
        }
    }

    fn table(&mut self) -> Option<Json> {
        let mut members = Vec::new();
        if self.accept(b'}') {
            return Some(Json::Table(members));
        }
        loop {
            if !self.accept(b'"') {
                return None;
            }
            let name = self.text()?;
            if !self.accept(b':') {
                return None;
            }
            members.push((name, self.value()?));
            if self.accept(b'}') {
                return Some(Json::Table(members));
            }
            if !self.accept(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        if self.accept(b']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.accept(b']') {
                return Some(Json::List(items));
            }
            if !self.accept(b',') {
                return None;
            }
        }
    }

    /// Reads a text whose first quote was consumed. Escapes beyond the simple ones do not occur.
    fn text(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => match self.next()? {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    other => bytes.push(other),
                },
                byte => bytes.push(byte),
            }
        }
    }
}
