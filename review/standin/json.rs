//! A reader of JSON, and base64.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            let mut map = BTreeMap::new();
            *at += 1;
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b'}' => break *at += 1,
                    b',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        skip(text, at);
                        *at += 1;
                        map.insert(name, value(text, at)?);
                    }
                }
            }
            Some(Json::Map(map))
        }
        b'[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b']' => break *at += 1,
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
            Some(Json::List(list))
        }
        b'"' => string(text, at).map(Json::Text),
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                *at += 1;
            }
            match &text[from..*at] {
                b"null" => Some(Json::Null),
                b"true" => Some(Json::Bool(true)),
                b"false" => Some(Json::Bool(false)),
                word => Some(Json::Number(std::str::from_utf8(word).ok()?.parse().ok()?)),
            }
        }
    }
}

/// Reads a string. The daemons escape nothing but quotes and backslashes.
fn string(text: &[u8], at: &mut usize) -> Option<String> {
    let mut bytes = Vec::new();
    *at += 1;
    loop {
        match *text.get(*at)? {
            b'"' => break *at += 1,
            b'\\' => {
                bytes.push(*text.get(*at + 1)?);
                *at += 2;
            }
            byte => {
                bytes.push(byte);
                *at += 1;
            }
        }
    }
    String::from_utf8(bytes).ok()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let at = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            match place <= three.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
