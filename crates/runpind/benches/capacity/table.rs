//! The tables of `docs/CAPACITY.md`, in Markdown.

use crate::measure::Series;
use crate::needs::Need;

/// Prints the measured points and the lines fitted to them.
pub(crate) fn print_slopes(series: &[&Series]) {
    println!("| quantity | against | measured | constant | per unit |");
    println!("|---|---|---|---|---|");
    for series in series {
        let slope = series.slope();
        let points: Vec<String> = series
            .points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {}", format_number(*value)))
            .collect();
        println!(
            "| {} | {} | {} | {} | {} |",
            series.quantity,
            series.size,
            points.join(", "),
            format_number(slope.constant),
            format_number(slope.per_unit)
        );
    }
    println!();
}

/// Prints what one node needs, next to the budgets.
pub(crate) fn print_needs(needs: &[Need]) {
    println!("| mechanism | need | budget | fits |");
    println!("|---|---|---|---|");
    for need in needs {
        println!(
            "| {} | {} {} | {} {} | {} |",
            need.mechanism,
            format_number(need.value),
            need.unit,
            format_number(need.budget),
            need.unit,
            if need.value <= need.budget { "yes" } else { "NO" }
        );
    }
    println!();
}

/// Formats a number with about three significant digits.
fn format_number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.1e}"),
    }
}
