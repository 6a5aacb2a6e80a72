//! Measures how memory and time grow with the size of the deployment, and extrapolates what one
//! node needs at the size in `docs/CAPACITY.md`.
//!
//! Run with `cargo bench --locked -p runpind --bench capacity`; it prints the tables of that page.

#![allow(clippy::print_stdout, reason = "the benchmark prints its results")]

mod deployment;
mod measure;
mod needs;
mod size;
mod slope;
mod table;

use measure::Measured;
use size::Size;

fn main() {
    let measured = Measured::measure_all();
    table::print_slopes(&measured.series());
    table::print_needs(&needs::node_needs(&measured, &Size::TWO_YEARS));
}
