//! Match expressions: typed rules that classify every request at a bounded cost.
//!
//! An expression is parsed ([`syntax`]), checked and compiled ([`compile`]), and evaluated over the
//! facts of a request ([`facts`], [`eval`]). A rule set ([`ruleset`]) holds rules in the order of a
//! file; an index ([`index`]) leaves out rules that cannot match. `docs/operators/rules.md`
//! describes the language and `docs/design/rules.md` its design. The settings load rule sets, and
//! the node evaluates them. This crate does no I/O and reads no clock.
//!
//! ```
//! use madderpoint_rules::{Bounds, Facts, RuleLookup, RuleSet, Scratch, Vocabulary, RuleSource};
//!
//! let words = Vocabulary { operations: vec!["gun-yaz".into()], ..Vocabulary::default() };
//! let rule = RuleSource {
//!     name: "yaz".into(),
//!     when: r#"script.startsWith("/old/yaz/") && method == "POST""#.into(),
//!     operation: Some("gun-yaz".into()),
//!     key: Some(r#"script.part("/", 3)"#.into()),
//!     ..RuleSource::default()
//! };
//! let rules = RuleSet::load(&[rule], &words, &[], Bounds::default()).unwrap();
//! let facts = Facts { script: "/old/yaz/ankara-1", method: "POST", ..Facts::default() };
//! let decision = rules.decide(&facts, &mut Scratch::new(7), RuleLookup::Index);
//! assert_eq!(decision.output.unwrap().rule.operation, Some(0));
//! ```

#![forbid(unsafe_code)]

pub mod address;
pub mod compile;
pub mod cost;
pub mod error;
pub mod eval;
pub mod facts;
pub mod index;
pub mod pattern;
pub mod ruleset;
pub mod syntax;
pub mod time;
pub mod value;

pub use address::AddressSet;
pub use compile::Vocabulary;
pub use error::ExpressionError;
pub use facts::{Caller, Facts, Params};
pub use ruleset::{
    Bounds, Decision, Field, RuleError, RuleLookup, RuleOutput, RuleSet, RuleSource, Scratch,
    Verdict, common_number,
};
pub use value::{EvaluationError, Type, Value};
