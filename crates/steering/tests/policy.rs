//! Policy programs: the examples, errors, resource limits and arbitrary programs.

mod common;

use common::{cases, example, site, view};
use proptest::prelude::*;
use steering::policy::{PolicyError, Program, View, check_policy, nearest};

fn weights(program: &str, view: &View) -> Result<Vec<f64>, PolicyError> {
    Program::compile(program)?.weights(view)
}

fn three_sites() -> View {
    view(vec![
        site("near", 0.0, 10.0, 1.0),
        site("next", 1.0, 10.0, 8.0),
        site("far", 35.0, 10.0, 10.0),
    ])
}

#[test]
fn example_nearest_is_the_built_in_policy() {
    for headroom in [0.0, 0.5, 1.0, 2.0, 9.0] {
        let view = view(vec![
            site("far", 35.0, 10.0, 1.0),
            site("near", 0.0, 10.0, headroom),
            site("next", 1.0, 10.0, 1.5),
        ]);

        let program = weights(&example("nearest"), &view).expect("weights");

        let built_in = nearest(&view);
        assert!(
            program.iter().zip(&built_in).all(|(a, b)| (a - b).abs() < 1e-9),
            "{program:?} {built_in:?}"
        );
    }
}

#[test]
fn examples_prefer_sites_as_their_names_say() {
    let view = three_sites();

    let least_loaded = weights(&example("least-loaded"), &view).expect("least-loaded");
    let headroom_first = weights(&example("headroom-first"), &view).expect("headroom-first");
    let latency_first = weights(&example("latency-first"), &view).expect("latency-first");

    assert!(least_loaded[2] > least_loaded[1] && least_loaded[1] > least_loaded[0]);
    assert!(headroom_first[1] > headroom_first[2] && headroom_first[2] > headroom_first[0]);
    assert!(latency_first[1] > 0.5 && latency_first[2] < 0.01, "{latency_first:?}");
}

#[test]
fn errors_have_the_line() {
    let view = three_sites();
    let cases: [(&str, Option<usize>); 9] = [
        ("let a = 1;\nlet b = ;", Some(2)),
        ("1;\nunknown", Some(2)),
        ("\nloop {}", Some(2)),
        ("\n\nsleep(1); [1, 1, 1]", Some(3)),
        ("eval(\"[1, 1, 1]\")", Some(1)),
        ("7", None),
        ("[1, 2]", None),
        ("[1, -1, 1]", None),
        ("[0, 0, 0]", None),
    ];
    for (program, line) in cases {
        let error = weights(program, &view).expect_err(program);

        assert_eq!(error.line(), line, "{program}: {error}");
    }
}

#[test]
fn weights_that_are_not_finite_are_refused() {
    for value in ["0.0 / 0.0", "1.0 / 0.0", "\"1\"", "()", "true"] {
        let error = weights(&format!("[1, {value}, 1]"), &three_sites()).expect_err(value);

        assert!(matches!(error, PolicyError::Weight { position: 1, .. }), "{value}: {error}");
    }
}

#[test]
fn memory_is_bounded() {
    let programs = [
        "let a = [1]; loop { a += a; }",
        "let s = \"x\"; loop { s += s; }",
        "let a = []; a.pad(100000000, 1); a",
        "let m = #{}; let i = 0; loop { m[i.to_string()] = i; i += 1; }",
        "let b = blob(100000000); b",
        "let s = \"\"; s.pad(100000000, \"x\"); s",
        "fn f(n) { f(n + 1) } f(0)",
    ];
    for program in programs {
        assert!(weights(program, &three_sites()).is_err(), "{program}");
    }
}

#[test]
fn check_runs_the_program_on_every_view() {
    let text =
        std::fs::read_to_string(common::examples().join("views/repair.json")).expect("views");
    let views: Vec<View> = serde_json::from_str(&text).expect("recorded views");
    for name in ["nearest", "least-loaded", "headroom-first", "latency-first"] {
        let checked = check_policy(&example(name), &views).expect(name);

        assert_eq!(checked.len(), views.len());
        for view in checked {
            let sum: f64 = view.weights.iter().map(|(_, weight)| weight).sum();
            assert!((sum - 1.0).abs() < 1e-9, "{name}: {sum}");
        }
    }
}

/// Programs from random pieces, which often parse and sometimes run.
fn program_text() -> impl Strategy<Value = String> {
    let piece = prop::sample::select(vec![
        "let x = ",
        "x",
        "sites",
        "site",
        "[",
        "]",
        "{",
        "}",
        "(",
        ")",
        ";",
        ",",
        " ",
        "\n",
        "1",
        "0.5",
        "-",
        "+",
        "*",
        "/",
        "**",
        "%",
        "<<",
        "\"a\"",
        "'c'",
        "`${x}`",
        "fn f(a) ",
        "f(x)",
        "f",
        "while true ",
        "loop ",
        "for s in sites ",
        "if x == 1 ",
        "else ",
        "return ",
        "|a| a",
        "|a, b| ",
        ".push(x)",
        ".len()",
        ".sort(",
        ".map(",
        ".filter(",
        ".pad(99999999, 1)",
        "range(0, 999999999)",
        "blob(9999999)",
        "sites[0]",
        ".delay_ms",
        "#{a: 1}",
        "x += x;",
        "=",
        "==",
        "try ",
        "catch ",
        "throw ",
        "switch x ",
        "=> ",
        "const y = ",
        "9223372036854775807",
        "curry",
        "call",
        "this",
        "print(x)",
        "debug(x)",
        "parse_json",
        "sleep(9)",
        "import \"a\" as b;",
        "export x;",
        "exit()",
        "chars",
        "split",
        "to_string()",
        "0..999999999",
        "&&",
        "||",
        "??",
        "?.",
        "!",
        "eval(\"1\")",
    ]);
    prop_oneof![
        3 => prop::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat()),
        1 => ".{0,200}",
    ]
}

proptest! {
    #![proptest_config(cases(10_000))]

    #[test]
    fn no_program_panics_or_returns_invalid_weights(text in program_text()) {
        if let Ok(weights) = weights(&text, &three_sites()) {
            prop_assert_eq!(weights.len(), 3);
            prop_assert!((weights.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            prop_assert!(weights.iter().all(|weight| (0.0..=1.0).contains(weight)));
        }
    }

    /// The loop calls the random body, so that the interpreter runs it if it parses.
    #[test]
    fn arbitrary_bodies_end_within_the_operation_limit(body in program_text()) {
        let program = format!("fn g(x) {{ {body} }}\nlet r = 0; while true {{ g(r); r += 1; }}");

        prop_assert!(weights(&program, &three_sites()).is_err());
    }
}

#[test]
fn example_configurations_contain_the_example_policies() {
    for deployment in ["repair", "address"] {
        let path = common::examples().join(format!("{deployment}.toml"));
        let text = std::fs::read_to_string(path).expect("configuration");
        let configuration: configuration::Configuration = text.parse().expect("valid");

        for policy in &configuration.policies {
            assert_eq!(&*policy.program, example(&policy.name), "{deployment}: {}", policy.name);
        }
        assert_eq!(configuration.policies.len(), 4);
    }
}
