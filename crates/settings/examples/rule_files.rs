//! Writes rule files for measurements with `madderpoint rules bench`:
//!
//!     cargo run --release -p madderpoint-settings --example rule_files -- many 10000 100000 > many.xml
//!     cargo run --release -p madderpoint-settings --example rule_files -- worst > worst.xml
//!
//! `many` writes the given numbers of rules and addresses; the request of its test case matches the
//! last rule. `worst` writes expressions of different kinds, each with a worst-case cost just below
//! the limit, and requests whose evaluation cost is as close to that worst case as possible.

use std::fmt::Write;

fn many(rules: usize, addresses: usize) -> String {
    let mut text = "<translator version=\"1\">\n<rules cost=\"100000\">\n".to_owned();
    text += "<parameter name=\"HTTP_X_SITE\" most=\"64B\"/>\n<addresses name=\"offices\">\n";
    for i in 0..addresses {
        let _ = writeln!(
            text,
            "{}.{}.{}.{}",
            11 + (i >> 16),
            (i >> 8) & 255,
            i & 255,
            2 * (i % 100)
        );
    }
    text += "</addresses>\n";
    for i in 0..rules {
        let when = match i % 4 {
            _ if i + 1 == rules => {
                "params.HTTP_X_SITE == \"site-77\" &amp;&amp; method == \"POST\"".to_owned()
            }
            0 => format!("params.HTTP_X_SITE == \"s{i}\" &amp;&amp; method == \"POST\""),
            1 => format!("script.startsWith(\"/old/{i}/\") &amp;&amp; peer > 2"),
            2 => format!(
                "caller.address in net(\"10.{}.{}.0/24\")",
                (i >> 8) & 255,
                i & 255
            ),
            _ => {
                format!(
                    "params.HTTP_X_SITE in [\"a{i}\", \"b{i}\"] &amp;&amp; !(caller.address in offices)"
                )
            }
        };
        let _ = writeln!(
            text,
            "<rule name=\"r{i}\"><when>{when}</when><give class=\"c\"/></rule>"
        );
    }
    let request = "script=\"/call/gun-yaz\" peer=\"4\" address=\"9.9.9.9\"";
    let _ = writeln!(
        text,
        "<case name=\"last\"><request {request}><param name=\"HTTP_X_SITE\">site-77</param></request>\
        <expect rule=\"r{}\"/></case>\n</rules>\n</translator>",
        rules - 1
    );
    text
}

/// Returns a file of rules with expensive expressions over one parameter each.
fn worst() -> String {
    // Name of the rule, maximum length of the parameter W in bytes, expression over W, value of W.
    let kinds: [(&str, usize, &str, String); 6] = [
        (
            "pattern",
            985,
            "params.W.matches(\"(ab|cd)*e\") || false",
            "abcd".repeat(246),
        ),
        (
            "search",
            4096,
            "params.W.contains(\"abcabcabcabcabcabd\")",
            "abc".repeat(1365),
        ),
        ("letters", 2600, "size(params.W) == 1", "ş".repeat(1300)),
        (
            "pieces",
            155,
            "params.W.split(\",\").exists(x, x == \"none\")",
            "a,".repeat(77),
        ),
        (
            "rounds",
            5,
            "params.W.split(\",\").all(x, params.W.split(\",\").exists(y, x + y != \"\"))",
            "a,".repeat(2),
        ),
        (
            "texts",
            2600,
            "params.W.lowerAscii() + \"x\" == \"y\"",
            "A".repeat(2600),
        ),
    ];
    let mut text = "<translator version=\"1\">\n<rules>\n".to_owned();
    for (name, most, ..) in &kinds {
        let _ = writeln!(
            text,
            "<parameter name=\"{}\" most=\"{most}B\"/>",
            name.to_uppercase()
        );
    }
    for (name, _, when, _) in &kinds {
        let when = when.replace("params.W", &format!("params.{}", name.to_uppercase()));
        let _ = writeln!(
            text,
            "<rule name=\"{name}\"><when><![CDATA[has(params.{0}) && ({when}) && false]]></when></rule>",
            name.to_uppercase()
        );
    }
    for (name, _, _, value) in &kinds {
        let _ = writeln!(
            text,
            "<case name=\"{name}\"><request><param name=\"{}\">{value}</param></request><expect rule=\"none\"/></case>",
            name.to_uppercase()
        );
    }
    text + "</rules>\n</translator>\n"
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| arguments.get(index).and_then(|a| a.parse().ok());
    match (arguments.first().map(String::as_str), number(1)) {
        (Some("many"), Some(rules)) if rules > 0 => {
            print!("{}", many(rules, number(2).unwrap_or(0)))
        }
        (Some("worst"), _) => print!("{}", worst()),
        _ => {
            eprintln!("rule_files many RULES [ADDRESSES] | rule_files worst");
            std::process::exit(2);
        }
    }
}
