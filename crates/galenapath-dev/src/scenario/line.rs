//! Parser of the scenario language: one step per line, made of words and `name=value` options.

use galenapath_protocol::FastMap;
use thiserror::Error;
use winnow::ascii::{line_ending, space0, space1, till_line_ending};
use winnow::combinator::{alt, delimited, eof, opt, preceded, separated, separated_pair};
use winnow::token::take_while;
use winnow::{Parser, Result};

/// Syntax error in a scenario.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("syntax error in line {line}: `{rest}`")]
pub struct ParseError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Text of the line.
    pub rest: String,
}

/// A word or an option of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// A word, quoted or not.
    Plain(String),
    /// `name=value`.
    Named(String, String),
}

/// One step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// Line number, starting at 1.
    pub number: usize,
    /// Words in order; the first is the name of the step.
    pub words: Vec<String>,
    /// Options by name.
    pub options: FastMap<String, String>,
}

/// Parses a scenario. Empty lines and comments (from `#` to the end of the line) are skipped.
///
/// # Errors
///
/// A line has a syntax error.
pub fn parse(text: &str) -> std::result::Result<Vec<Line>, ParseError> {
    let mut lines = Vec::new();
    for (index, text) in text.lines().enumerate() {
        let number = index + 1;
        let error = |_| ParseError { line: number, rest: text.to_owned() };
        let words = step.parse(text).map_err(error)?;
        if !words.is_empty() {
            lines.push(Line::new(number, words));
        }
    }
    Ok(lines)
}

impl Line {
    fn new(number: usize, parts: Vec<Word>) -> Self {
        let mut line = Self { number, ..Self::default() };
        for part in parts {
            match part {
                Word::Plain(word) => line.words.push(word),
                Word::Named(name, value) => drop(line.options.insert(name, value)),
            }
        }
        line
    }

    /// Returns the word at `index`, or an empty string if the line has fewer words.
    pub fn word(&self, index: usize) -> &str {
        self.words.get(index).map_or("", String::as_str)
    }

    /// Returns the value of an option.
    pub fn option(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }
}

fn step(input: &mut &str) -> Result<Vec<Word>> {
    let words = separated(0.., word, space1);
    let comment = opt(preceded('#', till_line_ending));
    let end = (space0, comment, alt((line_ending, eof)));
    delimited(space0, words, end).parse_next(input)
}

fn word(input: &mut &str) -> Result<Word> {
    let named = separated_pair(name, '=', value).map(|(name, value)| Word::Named(name, value));
    alt((named, value.map(Word::Plain))).parse_next(input)
}

fn name(input: &mut &str) -> Result<String> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_')
        .map(str::to_owned)
        .parse_next(input)
}

fn value(input: &mut &str) -> Result<String> {
    alt((quoted, bare)).map(str::to_owned).parse_next(input)
}

fn quoted<'a>(input: &mut &'a str) -> Result<&'a str> {
    delimited('"', take_while(0.., |c| c != '"'), '"').parse_next(input)
}

fn bare<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., |c: char| !c.is_whitespace() && c != '#' && c != '"').parse_next(input)
}
