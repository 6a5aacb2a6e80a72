//! Measures how state, time and messages grow with the deployment, and works out from these slopes
//! what one node needs at the size of `docs/CAPACITY.md`.
//!
//! Run with `cargo bench --locked -p runpind --bench capacity`; it prints the tables of that page.

#![allow(clippy::print_stdout, reason = "its output is its purpose")]

mod deployment;
mod measure;
mod needs;
mod size;
mod slope;
mod table;

use measure::Measured;
use size::Size;

fn main() {
    let measured = Measured::all();
    table::print_slopes(&measured.series());
    table::print_needs(&needs::of_one_node(&measured, &Size::TWO_YEARS));
}
