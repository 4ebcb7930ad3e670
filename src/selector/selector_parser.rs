//! Recursive-descent parser for selectors.

use super::LabelCondition;
use super::SelectorError;
use super::SelectorRequirement;

/// Returns whether a label's key or value may contain `character`.
pub(crate) fn is_label_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '_' | '-' | '.' | '/' | ':')
}

/// Parses all requirements of `text`; a blank text has none.
pub(super) fn parse_requirements(text: &str) -> Result<Vec<SelectorRequirement>, SelectorError> {
    let mut parser = SelectorParser::new(text);
    let mut requirements = Vec::new();
    parser.skip_blanks();
    if parser.peek().is_none() {
        return Ok(requirements);
    }
    loop {
        requirements.push(parser.requirement()?);
        if parser.peek().is_none() {
            return Ok(requirements);
        }
        parser.expect(',')?;
    }
}

/// The characters of a selector and the current position.
struct SelectorParser {
    characters: Vec<char>,
    position: usize,
}

impl SelectorParser {
    fn new(text: &str) -> Self {
        Self {
            characters: text.chars().collect(),
            position: 0,
        }
    }

    fn requirement(&mut self) -> Result<SelectorRequirement, SelectorError> {
        if self.take('!') {
            let key = self.word("a label's key after `!`")?;
            let condition = LabelCondition::DoesNotExist;
            return Ok(SelectorRequirement { key, condition });
        }
        let key = self.word("a label's key")?;
        let condition = self.condition()?;
        Ok(SelectorRequirement { key, condition })
    }

    fn condition(&mut self) -> Result<LabelCondition, SelectorError> {
        match self.peek() {
            None | Some(',') => Ok(LabelCondition::Exists),
            Some('!') => {
                self.position += 1;
                self.expect('=')?;
                Ok(LabelCondition::NotIn(vec![self.word("a value")?]))
            }
            Some('=') => {
                self.position += 1;
                // `==` is a synonym of `=`, as in Kubernetes.
                self.take('=');
                Ok(LabelCondition::In(vec![self.word("a value")?]))
            }
            Some(_) => self.set_based_condition(),
        }
    }

    fn set_based_condition(&mut self) -> Result<LabelCondition, SelectorError> {
        let start = self.position;
        let operator = self.word("`=`, `!=`, `in`, `notin` or `,`")?;
        match operator.as_str() {
            "in" => Ok(LabelCondition::In(self.values()?)),
            "notin" => Ok(LabelCondition::NotIn(self.values()?)),
            _ => {
                self.position = start;
                Err(self.error("`=`, `!=`, `in`, `notin` or `,`"))
            }
        }
    }

    fn values(&mut self) -> Result<Vec<String>, SelectorError> {
        self.expect('(')?;
        let mut values = vec![self.word("a value")?];
        while !self.take(')') {
            if !self.take(',') {
                return Err(self.error("`,` or `)`"));
            }
            values.push(self.word("a value")?);
        }
        values.sort();
        values.dedup();
        Ok(values)
    }

    fn word(&mut self, expected: &str) -> Result<String, SelectorError> {
        self.skip_blanks();
        let rest = &self.characters[self.position..];
        let word: String = rest
            .iter()
            .take_while(|character| is_label_char(**character))
            .collect();
        if word.is_empty() {
            return Err(self.error(expected));
        }
        self.position += word.len();
        self.skip_blanks();
        Ok(word)
    }

    fn expect(&mut self, character: char) -> Result<(), SelectorError> {
        if self.take(character) {
            return Ok(());
        }
        Err(self.error(&format!("`{character}`")))
    }

    fn take(&mut self, character: char) -> bool {
        let found = self.peek() == Some(character);
        if found {
            self.position += 1;
            self.skip_blanks();
        }
        found
    }

    fn peek(&self) -> Option<char> {
        self.characters.get(self.position).copied()
    }

    fn skip_blanks(&mut self) {
        while self.peek().is_some_and(char::is_whitespace) {
            self.position += 1;
        }
    }

    fn error(&self, expected: &str) -> SelectorError {
        let found = match self.peek() {
            Some(character) => format!("`{character}`"),
            None => String::from("the end"),
        };
        SelectorError {
            position: self.position + 1,
            message: format!("expected {expected}, found {found}"),
        }
    }
}
