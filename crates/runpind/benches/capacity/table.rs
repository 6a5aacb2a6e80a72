//! The tables of `docs/CAPACITY.md`, in Markdown.

use crate::measure::Series;
use crate::needs::Need;

/// Prints what was measured and the line through it.
pub(crate) fn print_slopes(series: &[&Series]) {
    println!("| quantity | against | measured | constant | per unit |");
    println!("|---|---|---|---|---|");
    for series in series {
        let slope = series.slope();
        let points: Vec<String> = series
            .points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {}", number(*value)))
            .collect();
        println!(
            "| {} | {} | {} | {} | {} |",
            series.quantity,
            series.size,
            points.join(", "),
            number(slope.constant),
            number(slope.per_unit)
        );
    }
    println!();
}

/// Prints what one node needs.
pub(crate) fn print_needs(needs: &[Need]) {
    println!("| mechanism | need | budget | fits |");
    println!("|---|---|---|---|");
    for need in needs {
        println!(
            "| {} | {} {} | {} {} | {} |",
            need.mechanism,
            number(need.value),
            need.unit,
            number(need.budget),
            need.unit,
            if need.value <= need.budget { "yes" } else { "NO" }
        );
    }
    println!();
}

/// Writes a number with three significant digits.
fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.1e}"),
    }
}
