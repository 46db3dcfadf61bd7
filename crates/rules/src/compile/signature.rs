//! Signatures of functions and methods.

use super::node::Function;
use crate::time::Part;
use crate::value::Type;

/// A type in a signature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ParameterType {
    Bool,
    Int,
    Float,
    Text,
    Bytes,
    Span,
    Time,
    Address,
    AnyList,
    Params,
}

impl ParameterType {
    /// Returns the type of the language. `AnyList` is shown as a list of strings.
    pub(super) fn kind(self) -> Type {
        match self {
            ParameterType::Bool => Type::Bool,
            ParameterType::Int => Type::Int,
            ParameterType::Float => Type::Float,
            ParameterType::Text => Type::Text,
            ParameterType::Bytes => Type::Bytes,
            ParameterType::Span => Type::Span,
            ParameterType::Time => Type::Time,
            ParameterType::Address => Type::Address,
            ParameterType::AnyList => Type::List(Box::new(Type::Text)),
            ParameterType::Params => Type::Params,
        }
    }

    /// Returns whether an argument of the type `kind` is accepted.
    pub(super) fn fits(self, kind: &Type) -> bool {
        match self {
            ParameterType::AnyList => matches!(kind, Type::List(_)),
            other => other.kind() == *kind,
        }
    }
}

/// The signature of a function or method. The first argument type of a method is the type of its
/// receiver.
#[derive(Debug)]
pub(super) struct Signature {
    pub(super) name: &'static str,
    pub(super) method: bool,
    pub(super) arguments: &'static [ParameterType],
    pub(super) result: ParameterType,
    pub(super) func: Function,
}

const fn row(
    name: &'static str,
    method: bool,
    arguments: &'static [ParameterType],
    result: ParameterType,
    func: Function,
) -> Signature {
    Signature {
        name,
        method,
        arguments,
        result,
        func,
    }
}

impl Signature {
    /// All signatures, in the order of overload resolution.
    #[rustfmt::skip]
    pub(super) const ALL: [Signature; 47] = {
        use ParameterType::*;
        [
            row("size", false, &[Text], Int, Function::Size),
            row("size", false, &[Bytes], Int, Function::Size),
            row("size", false, &[AnyList], Int, Function::Size),
            row("size", false, &[Params], Int, Function::Size),
            row("size", true, &[Text], Int, Function::Size),
            row("size", true, &[Bytes], Int, Function::Size),
            row("size", true, &[AnyList], Int, Function::Size),
            row("size", true, &[Params], Int, Function::Size),
            row("startsWith", true, &[Text, Text], Bool, Function::StartsWith),
            row("endsWith", true, &[Text, Text], Bool, Function::EndsWith),
            row("contains", true, &[Text, Text], Bool, Function::Contains),
            row("indexOf", true, &[Text, Text], Int, Function::IndexOf),
            row("substring", true, &[Text, Int], Text, Function::Substring),
            row("substring", true, &[Text, Int, Int], Text, Function::Substring),
            row("part", true, &[Text, Text, Int], Text, Function::Part),
            row("before", true, &[Text, Text], Text, Function::Before),
            row("after", true, &[Text, Text], Text, Function::After),
            row("lowerAscii", true, &[Text], Text, Function::Lower),
            row("upperAscii", true, &[Text], Text, Function::Upper),
            row("trim", true, &[Text], Text, Function::Trim),
            row("split", true, &[Text, Text], AnyList, Function::Split),
            row("hash", false, &[Text, Int], Int, Function::Hash),
            row("int", false, &[Text], Int, Function::ToInt),
            row("int", false, &[Float], Int, Function::ToInt),
            row("int", false, &[Time], Int, Function::ToInt),
            row("double", false, &[Text], Float, Function::ToFloat),
            row("double", false, &[Int], Float, Function::ToFloat),
            row("string", false, &[Int], Text, Function::ToText),
            row("string", false, &[Float], Text, Function::ToText),
            row("string", false, &[Bool], Text, Function::ToText),
            row("string", false, &[Bytes], Text, Function::ToText),
            row("string", false, &[Span], Text, Function::ToText),
            row("string", false, &[Time], Text, Function::ToText),
            row("string", false, &[Address], Text, Function::ToText),
            row("bytes", false, &[Text], Bytes, Function::ToBytes),
            row("duration", false, &[Text], Span, Function::ToSpan),
            row("timestamp", false, &[Text], Time, Function::ToTime),
            row("ip", false, &[Text], Address, Function::ToAddress),
            row("getFullYear", true, &[Time], Int, Function::TimePart(Part::Year)),
            row("getMonth", true, &[Time], Int, Function::TimePart(Part::Month)),
            row("getDate", true, &[Time], Int, Function::TimePart(Part::Date)),
            row("getDayOfWeek", true, &[Time], Int, Function::TimePart(Part::WeekDay)),
            row("getHours", true, &[Time], Int, Function::TimePart(Part::Hours)),
            row("getMinutes", true, &[Time], Int, Function::TimePart(Part::Minutes)),
            row("getSeconds", true, &[Time], Int, Function::TimePart(Part::Seconds)),
            row("getSeconds", true, &[Span], Int, Function::SpanSeconds),
            row("getMilliseconds", true, &[Span], Int, Function::SpanMillis),
        ]
    };

    /// Returns the signature as diagnostics show it, such as `string.substring(int)`.
    pub(super) fn describe(&self) -> String {
        let kinds: Vec<_> = self
            .arguments
            .iter()
            .map(|t| t.kind().to_string())
            .collect();
        match (self.method, kinds.split_first()) {
            (true, Some((of, rest))) => format!("{of}.{}({})", self.name, rest.join(", ")),
            _ => format!("{}({})", self.name, kinds.join(", ")),
        }
    }
}
