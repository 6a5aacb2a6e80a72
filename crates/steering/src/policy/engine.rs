//! The interpreter of policy programs, and its resource limits.

use rhai::{Engine, EvalAltResult, FLOAT, INT};

/// Largest program, in bytes.
pub(super) const MAX_PROGRAM_BYTES: usize = 16_384;

/// Largest number of operations in one run.
pub(super) const MAX_OPERATIONS: u64 = 50_000;

const MAX_CALL_LEVELS: usize = 16;
const MAX_EXPRESSION_DEPTH: usize = 32;
const MAX_FUNCTION_EXPRESSION_DEPTH: usize = 16;
const MAX_FUNCTIONS: usize = 32;
const MAX_VARIABLES: usize = 64;
const MAX_STRING_BYTES: usize = 1_024;
const MAX_ARRAY_ENTRIES: usize = 1_024;
const MAX_MAP_ENTRIES: usize = 512;

/// Creates an interpreter without input, output, clock, randomness and `eval`, and with bounded
/// time and memory.
pub(super) fn engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_FUNCTION_EXPRESSION_DEPTH);
    engine.set_max_functions(MAX_FUNCTIONS);
    engine.set_max_variables(MAX_VARIABLES);
    engine.set_max_string_size(MAX_STRING_BYTES);
    engine.set_max_array_size(MAX_ARRAY_ENTRIES);
    engine.set_max_map_size(MAX_MAP_ENTRIES);
    engine.disable_symbol("eval");
    // `sleep` of the standard package would block the thread.
    engine.register_fn("sleep", |_: INT| refuse_sleep());
    engine.register_fn("sleep", |_: FLOAT| refuse_sleep());
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine
}

fn refuse_sleep() -> Result<(), Box<EvalAltResult>> {
    Err("a policy may not sleep".into())
}
