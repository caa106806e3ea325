//! Percent encoding and XML text.

const HEX: u32 = 16;

/// Decodes percent escapes; `+` is a blank only in a query.
pub(crate) fn decode(text: &str, in_query: bool) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => bytes.push(escaped(&mut rest)),
            b'+' if in_query => bytes.push(b' '),
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn escaped(rest: &mut std::str::Bytes<'_>) -> u8 {
    let mut digit = || {
        let digit = rest.next().and_then(|byte| char::from(byte).to_digit(HEX));
        digit.unwrap_or(0)
    };
    let value = digit() * HEX + digit();
    u8::try_from(value).unwrap_or(b'?')
}

pub(crate) fn query(text: &str, wanted: &str) -> Option<String> {
    let mut pairs = text
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let found = pairs.find(|(name, _)| *name == wanted);
    found.map(|(_, value)| decode(value, true))
}

pub(crate) fn xml(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
