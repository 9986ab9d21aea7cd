//! The text form: one step a line, made of words and `name=value` options.

use galenapath_protocol::FastMap;
use thiserror::Error;
use winnow::ascii::{line_ending, space0, space1, till_line_ending};
use winnow::combinator::{alt, delimited, eof, opt, preceded, separated, separated_pair};
use winnow::token::take_while;
use winnow::{Parser, Result};

/// A text that is no scenario.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("line {line}: cannot be read at `{rest}`")]
pub struct ParseError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What could not be read.
    pub rest: String,
}

/// A part of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// A plain or quoted word.
    Plain(String),
    /// `name=value`.
    Named(String, String),
}

/// One step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// Number of the line, from 1.
    pub number: usize,
    /// Its words in order; the first names the step.
    pub words: Vec<String>,
    /// Its options.
    pub options: FastMap<String, String>,
}

/// Reads a scenario. Empty lines and comments, from `#` to the end of the line, are left out.
///
/// # Errors
///
/// A line is neither words nor a comment.
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

    /// The word at `index`, empty where there are fewer.
    pub fn word(&self, index: usize) -> &str {
        self.words.get(index).map_or("", String::as_str)
    }

    /// An option's value.
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
