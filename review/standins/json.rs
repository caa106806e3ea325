//! A small JSON reader, and text in Base64.

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { rest: text };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn take(&mut self, token: char) -> bool {
        self.rest = self.rest.trim_start();
        match self.rest.strip_prefix(token) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.rest = self.rest.trim_start();
        match self.rest.chars().next()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take('{');
        let mut fields = Vec::new();
        while !self.take('}') {
            self.take(',');
            self.rest = self.rest.trim_start();
            let name = self.string()?;
            self.take(':');
            fields.push((name, self.value()?));
        }
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[');
        let mut items = Vec::new();
        while !self.take(']') {
            self.take(',');
            items.push(self.value()?);
        }
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        let mut text = String::new();
        let mut chars = self.rest.char_indices().skip(1);
        while let Some((at, char)) = chars.next() {
            match char {
                '"' => {
                    self.rest = &self.rest[at + 1..];
                    return Some(text);
                }
                '\\' => match chars.next()?.1 {
                    'n' => text.push('\n'),
                    'u' => {
                        let digits: String =
                            (0..4).filter_map(|_| chars.next()).map(|c| c.1).collect();
                        text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    other => text.push(other),
                },
                other => text.push(other),
            }
        }
        None
    }

    fn word(&mut self) -> Option<Json> {
        let end = self.rest.find([',', '}', ']']).unwrap_or(self.rest.len());
        let word = self.rest[..end].trim();
        let value = word.parse().map_or(Json::Other, Json::Number);
        self.rest = &self.rest[end..];
        Some(value)
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in Base64.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let index = bits >> (18 - 6 * at) & 63;
            let is_filled = at <= group.len();
            text.push(if is_filled {
                char::from(ALPHABET[index as usize])
            } else {
                '='
            });
        }
    }
    text
}
