//! A small JSON reader, and the text forms that the stand-ins write.

use std::iter::Peekable;
use std::str::Chars;

#[derive(Clone, Debug, PartialEq)]
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
        let mut chars = text.chars().peekable();
        let value = value(&mut chars)?;
        skip_space(&mut chars);
        chars.next().is_none().then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

fn skip_space(chars: &mut Peekable<Chars>) {
    while chars.peek().is_some_and(|c| c.is_whitespace()) {
        chars.next();
    }
}

fn word(chars: &mut Peekable<Chars>, rest: &str, value: Json) -> Option<Json> {
    for expected in rest.chars() {
        if chars.next()? != expected {
            return None;
        }
    }
    Some(value)
}

fn value(chars: &mut Peekable<Chars>) -> Option<Json> {
    skip_space(chars);
    match chars.peek()? {
        'n' => word(chars, "null", Json::Null),
        't' => word(chars, "true", Json::Bool(true)),
        'f' => word(chars, "false", Json::Bool(false)),
        '"' => string(chars).map(Json::Text),
        '[' => {
            chars.next();
            let mut items = Vec::new();
            loop {
                skip_space(chars);
                if chars.peek() == Some(&']') {
                    chars.next();
                    return Some(Json::List(items));
                }
                items.push(value(chars)?);
                skip_space(chars);
                if chars.peek() == Some(&',') {
                    chars.next();
                }
            }
        }
        '{' => {
            chars.next();
            let mut fields = Vec::new();
            loop {
                skip_space(chars);
                if chars.peek() == Some(&'}') {
                    chars.next();
                    return Some(Json::Object(fields));
                }
                let name = string(chars)?;
                skip_space(chars);
                if chars.next()? != ':' {
                    return None;
                }
                fields.push((name, value(chars)?));
                skip_space(chars);
                if chars.peek() == Some(&',') {
                    chars.next();
                }
            }
        }
        _ => {
            let mut digits = String::new();
            while let Some(&c) = chars.peek() {
                if !(c.is_ascii_digit() || "+-.eE".contains(c)) {
                    break;
                }
                digits.push(c);
                chars.next();
            }
            digits.parse().ok().map(Json::Number)
        }
    }
}

fn string(chars: &mut Peekable<Chars>) -> Option<String> {
    if chars.next()? != '"' {
        return None;
    }
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                'u' => {
                    let code: String = (0..4).filter_map(|_| chars.next()).collect();
                    let code = u32::from_str_radix(&code, 16).ok()?;
                    text.push(char::from_u32(code).unwrap_or('?'));
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (group >> (18 - 6 * place)) & 63;
                text.push(ALPHABET[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut group, mut bits) = (Vec::new(), 0_u32, 0);
    for c in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|&known| known == c) else {
            continue;
        };
        group = (group << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
            group &= (1 << bits) - 1;
        }
    }
    bytes
}
